/**
Entries of a site whose processors are short for their work: calls take hundreds of milliseconds, and reads come late.
*/
import * as fc from 'fast-check';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {createSite, jobId} from './site-setup.ts';
import {
	createSpec, createStep, type SiteWorld,
} from './site-world.ts';

let world: SiteWorld;

const countTakeovers = (): number => world.notes.filter(({event}) => event === 'took over').length;

/** So small that each of them is too small for the two hosts of the site. */
const smallProcessors = 0.01;

const createSmallEntries = async (): Promise<void> => {
	world = await createSite(2, 0);
	for (const name of ['entry-0', 'entry-1', 'entry-2']) {
		world.startEntry(name, smallProcessors);
		// Their heartbeats do not come at the same moments.
		await world.clock.advance(370);
	}

	await world.clock.advance(5000);
};

afterEach(() => {
	world.stop();
	expect(world.violations).toEqual([]);
});

describe('a site whose work is too much for each of its entries by itself', () => {
	/**
	Callers got nearly nothing but lasting jobs on a day on which the same load had been served well before. Entries had 0.186 or
	1.35 of a core and the work asked for 1.6, so that none gave way: the group had dealt the jobs to one of the small ones.
	Its log: "settled" after 3.5 s, one scheduling cycle of 931 ms, replies of agents handled at a third of their rate.
	*/
	it('is scheduled by the entry that has most, whichever came first', async () => {
		world = await createSite(2, 0);
		world.startEntry('small-0', 0.002);
		world.startEntry('small-1', 0.002);
		await world.clock.advance(3000);
		world.startEntry('large', 0.015);
		expect(await world.waitFor(() => world.getOwnerName() === 'large', 5000)).toBeDefined();
		await world.clock.advance(1000);
		const before = countTakeovers();
		await world.clock.advance(30_000);
		expect(world.getOwnerName()).toBe('large');
		expect(countTakeovers()).toBe(before);
	});

	it('is scheduled by a smaller entry once the larger one is dead', async () => {
		world = await createSite(2, 0);
		for (const [name, processors] of [['small-0', 0.002], ['large', 0.015], ['small-1', 0.002]] as const) {
			world.startEntry(name, processors);
		}

		await world.waitFor(() => world.getOwnerName() === 'large', 5000);
		await world.clock.advance(10_000);
		world.killEntry('large');
		expect(await world.waitFor(() => world.getOwnerName()?.startsWith('small') === true, 5000)).toBeDefined();
		await world.submit(jobId, createSpec([createStep()]));
		expect(await world.waitFor(() => world.getStarts(`${jobId}.0.0.0`) === 1, 3000)).toBeDefined();
	});

	it('has its jobs owned again within 2 s when one of two equal entries dies', async () => {
		world = await createSite(2, 0);
		world.startEntry('large-0', 0.016);
		world.startEntry('large-1', 0.016);
		await world.clock.advance(5000);
		world.killEntry(world.getOwnerName()!);
		expect(await world.waitFor(() => world.getOwnerName() !== undefined, 2000)).toBeDefined();
	});
});

describe('an entry on a host that is short of processors', () => {
	/**
	Callers' jobs stood open to the end of the day with most of the room free. Three entries of 0.069 of a core took the jobs
	from each other every 1.2 to 3 s, long after the last disruption: 27 takeovers in 70 s. Their logs: "join late" with
	`sinceMs` 1476 to 2764 of which `lookMs` 700 to 1721. The look whether a larger entry owns (three calls, each a few
	hundred milliseconds on such a host) went before the heartbeat, and the group waits 1200 ms for one.
	*/
	it('stays the owner while each of its calls takes half a second', async () => {
		await createSmallEntries();
		const before = countTakeovers();
		world.store.getDelayMs = ({kind, client}) => client.startsWith('entry') && kind !== 'append' ? 500 : 0;
		await world.clock.advance(60_000);
		expect(countTakeovers()).toBe(before);
	});

	/**
	The same with timers and calls late by any amount up to what the logs showed ("timers late" 1229 ms, "join late" with
	`callMs` 1110): nothing of that is a loss of the host.
	*/
	it('stays the owner however its calls are late by up to 1.2 s', async () => {
		await fc.assert(fc.asyncProperty(fc.array(fc.integer({min: 0, max: 1200}), {minLength: 20, maxLength: 20}), async delays => {
			await createSmallEntries();
			const before = countTakeovers();
			let calls = 0;
			world.store.getDelayMs = ({client}) => client.startsWith('entry') ? delays[calls++ % delays.length]! : 0;
			await world.clock.advance(30_000);
			world.stop();
			return countTakeovers() === before;
		}), {numRuns: 20, seed: 7});
	});

	it('is replaced within 5 s once it is dead', async () => {
		await createSmallEntries();
		world.killEntry(world.getOwnerName()!);
		expect(await world.waitFor(() => world.getOwnerName() !== undefined, 5000)).toBeDefined();
		await world.submit(jobId, createSpec([createStep()]));
		expect(await world.waitFor(() => world.getStarts(`${jobId}.0.0.0`) === 1, 3000)).toBeDefined();
	});
});
