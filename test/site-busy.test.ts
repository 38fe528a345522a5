/**
Entries of a site with too few processors for their work: calls take hundreds of milliseconds, and reads are late.
*/
import * as fc from 'fast-check';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {createSite, jobId} from './site-setup.ts';
import {
	createSpec, createStep, type SimulatedSite,
} from './simulated-site.ts';

let site: SimulatedSite;

const countTakeovers = (): number => site.notes.filter(({event}) => event === 'took over').length;

/** Too few for an owner of the two hosts of the site. */
const smallProcessors = 0.01;

const createSmallEntries = async (): Promise<void> => {
	site = await createSite(2, 0);
	for (const name of ['entry-0', 'entry-1', 'entry-2']) {
		site.startEntry(name, smallProcessors);
		// Spreads their heartbeats over time.
		await site.clock.advance(370);
	}

	await site.clock.advance(5000);
};

afterEach(() => {
	site.stop();
	expect(site.violations).toEqual([]);
});

describe('a site whose entries all have too few processors', () => {
	/**
	Nearly only long-running jobs were served under a load that had been served well before. Entries had 0.186 or 1.35 of a core
	and the owner needed 1.6, so that none yielded: the group had assigned the jobs to one of the small entries. Its log:
	"settled" after 3.5 s, one scheduling cycle of 931 ms, replies of agents handled at a third of their rate.
	*/
	it('is scheduled by the entry with the most processors, whichever started first', async () => {
		site = await createSite(2, 0);
		site.startEntry('small-0', 0.002);
		site.startEntry('small-1', 0.002);
		await site.clock.advance(3000);
		site.startEntry('large', 0.015);
		expect(await site.waitFor(() => site.getOwnerName() === 'large', 5000)).toBeDefined();
		await site.clock.advance(1000);
		const before = countTakeovers();
		await site.clock.advance(30_000);
		expect(site.getOwnerName()).toBe('large');
		expect(countTakeovers()).toBe(before);
	});

	it('is scheduled by a smaller entry once the larger one is dead', async () => {
		site = await createSite(2, 0);
		for (const [name, processors] of [['small-0', 0.002], ['large', 0.015], ['small-1', 0.002]] as const) {
			site.startEntry(name, processors);
		}

		await site.waitFor(() => site.getOwnerName() === 'large', 5000);
		await site.clock.advance(10_000);
		site.killEntry('large');
		expect(await site.waitFor(() => site.getOwnerName()?.startsWith('small') === true, 5000)).toBeDefined();
		await site.submit(jobId, createSpec([createStep()]));
		expect(await site.waitFor(() => site.getStarts(`${jobId}.0.0.0`) === 1, 3000)).toBeDefined();
	});

	it('has its jobs owned again within 2 s when one of two equal entries dies', async () => {
		site = await createSite(2, 0);
		site.startEntry('large-0', 0.016);
		site.startEntry('large-1', 0.016);
		await site.clock.advance(5000);
		site.killEntry(site.getOwnerName()!);
		expect(await site.waitFor(() => site.getOwnerName() !== undefined, 2000)).toBeDefined();
	});
});

describe('an entry on a host that is short of processors', () => {
	/**
	Jobs stayed unfinished with most of the capacity free. Three entries of 0.069 of a core took the jobs over from each other
	every 1.2 to 3 s, long after the last fault: 27 takeovers in 70 s. Their logs: "join late" with `sinceMs` 1476 to 2764 of
	which `lookMs` 700 to 1721. The check whether a larger entry owns the jobs (three calls, each a few hundred milliseconds on
	such a host) preceded each heartbeat, and the group's time to live was 1200 ms.
	*/
	it('stays the owner while each of its calls takes half a second', async () => {
		await createSmallEntries();
		const before = countTakeovers();
		site.store.getDelayMs = ({kind, client}) => client.startsWith('entry') && kind !== 'append' ? 500 : 0;
		await site.clock.advance(60_000);
		expect(countTakeovers()).toBe(before);
	});

	/**
	The same with timers and calls late by any amount up to those in the logs ("timers late" 1229 ms, "join late" with `callMs`
	1110): none of these means that the host is lost.
	*/
	it('stays the owner with any calls late by up to 1.2 s', async () => {
		await fc.assert(fc.asyncProperty(fc.array(fc.integer({min: 0, max: 1200}), {minLength: 20, maxLength: 20}), async delays => {
			await createSmallEntries();
			const before = countTakeovers();
			let calls = 0;
			site.store.getDelayMs = ({client}) => client.startsWith('entry') ? delays[calls++ % delays.length]! : 0;
			await site.clock.advance(30_000);
			site.stop();
			return countTakeovers() === before;
		}), {numRuns: 20, seed: 7});
	});

	it('is replaced within 5 s once it is dead', async () => {
		await createSmallEntries();
		site.killEntry(site.getOwnerName()!);
		expect(await site.waitFor(() => site.getOwnerName() !== undefined, 5000)).toBeDefined();
		await site.submit(jobId, createSpec([createStep()]));
		expect(await site.waitFor(() => site.getStarts(`${jobId}.0.0.0`) === 1, 3000)).toBeDefined();
	});
});
