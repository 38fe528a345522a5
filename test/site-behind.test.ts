/**
Owners that read the jobs stream late or not at all.
*/
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {StoreFault} from '../src/standin/memory-store.ts';
import {workflowsTopic} from '../src/workflows/records.ts';
import {createSite, jobId} from './site-setup.ts';
import {
	cancelMs, createSpec, createStep, type SimulatedSite,
} from './simulated-site.ts';

let site: SimulatedSite;

/** Sequential steps: a task of the job starts every half second. */
const chain = createSpec(Array.from({length: 40}, (_, index) => createStep({after: index === 0 ? [] : [index - 1]})));

const getLastStartMs = (): number => Math.max(...site.events.filter(({type}) => type === 'started').map(({atMs}) => atMs));

/** Makes the store leave the entry's reads of the jobs stream unanswered, but not its other calls. */
const stopReads = (entryName: string): void => {
	site.store.getFault = ({client, kind, ref}) => client === entryName && kind === 'read' && ref?.topic === workflowsTopic ? StoreFault.LoseRequest : StoreFault.None;
};

/** Cancels the job at an entry that does not own it; returns when the cancellation was acknowledged. */
const cancelElsewhere = async (): Promise<number> => {
	const owner = site.getOwnerName();
	const other = [...site.entries.keys()].find(name => name !== owner)!;
	await site.cancel(jobId, other);
	return site.clock.monotonicMs();
};

afterEach(() => {
	site.stop();
	expect(site.violations).toEqual([]);
});

describe('an owner that is behind', () => {
	/**
	Tasks of cancelled jobs were started for ten seconds after the cancellation was acknowledged: 158 in a day, 84 in another.
	The owner's reads were seconds late on a busy host or a slow link while its heartbeats were answered, and nothing limited
	the staleness of its view.
	*/
	it('starts no task of a cancelled job after the bound, even if it has not read the cancellation', async () => {
		site = await createSite();
		site.plan = () => ({workMs: 500});
		await site.submit(jobId, chain);
		await site.clock.advance(2000);
		stopReads(site.getOwnerName()!);
		// Lets the read return that was already pending at the store.
		await site.clock.advance(1000);
		const cancelledAtMs = await cancelElsewhere();
		await site.clock.advance(12_000);
		expect(getLastStartMs()).toBeLessThanOrEqual(cancelledAtMs + cancelMs);
	});

	/** The same fault for new jobs: they waited for an owner that kept the partition and read nothing. */
	it('releases its jobs to an entry whose reads are answered', async () => {
		site = await createSite();
		const before = site.getOwnerName()!;
		stopReads(before);
		await site.clock.advance(2500);
		const other = [...site.entries.keys()].find(name => name !== before)!;
		await site.submit(jobId, createSpec([createStep()]), other);
		expect(await site.waitFor(() => site.getStarts(`${jobId}.0.0.0`) === 1, 12_000)).toBeDefined();
		expect(site.getOwnerName()).toBe(other);
	});

	/** While the store is unavailable to all entries nothing can be cancelled, so starts continue. */
	it('continues while the store is unavailable', async () => {
		site = await createSite();
		site.plan = () => ({workMs: 500});
		await site.submit(jobId, chain);
		await site.clock.advance(2000);
		site.store.getFault = () => StoreFault.Refuse;
		const unavailableAtMs = site.clock.monotonicMs();
		await site.clock.advance(4500);
		expect(getLastStartMs()).toBeGreaterThan(unavailableAtMs + 3500);
	});
});
