/**
Owners that do not read the jobs stream in time: what others wrote there reaches them late, or not at all.
*/
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {StoreFault} from '../src/standin/memory-store.ts';
import {workflowsTopic} from '../src/workflows/records.ts';
import {createSite, jobId} from './site-setup.ts';
import {
	cancelMs, createSpec, createStep, type SiteWorld,
} from './site-world.ts';

let world: SiteWorld;

/** Steps one after the other: something of the job starts every half second. */
const chain = createSpec(Array.from({length: 40}, (_, index) => createStep({after: index === 0 ? [] : [index - 1]})));

const getLastStartMs = (): number => Math.max(...world.events.filter(({type}) => type === 'started').map(({atMs}) => atMs));

/** The entry's reads of the jobs stream get no answer; its other calls do. */
const stopReads = (entryName: string): void => {
	world.store.fault = ({client, kind, ref}) => client === entryName && kind === 'read' && ref?.topic === workflowsTopic ? StoreFault.Silence : StoreFault.None;
};

/** What the owner still learns comes with the answers to its appends: none of that is asked here. */
const cancelElsewhere = async (): Promise<number> => {
	const owner = world.getOwnerName();
	const other = [...world.entries.keys()].find(name => name !== owner)!;
	await world.cancel(jobId, other);
	return world.clock.monotonicMs();
};

afterEach(() => {
	world.stop();
	expect(world.violations).toEqual([]);
});

describe('an owner that is behind', () => {
	/**
	Tasks of cancelled jobs were started for ten seconds after the cancelling was acknowledged: 158 in a day, 84 in another. The
	owner ordered by what it had read; its reads came seconds late on a busy host or a slow link, while its heartbeats came
	through, and nothing bounded how old its view might be.
	*/
	it('starts nothing of a job whose cancelling it has not read of in time', async () => {
		world = await createSite();
		world.plan = () => ({workMs: 500});
		await world.submit(jobId, chain);
		await world.clock.advance(2000);
		stopReads(world.getOwnerName()!);
		// The read that waits at the store was sent before.
		await world.clock.advance(1000);
		const cancelledAtMs = await cancelElsewhere();
		await world.clock.advance(12_000);
		expect(getLastStartMs()).toBeLessThanOrEqual(cancelledAtMs + cancelMs);
	});

	/** The same fault seen by other callers: their jobs waited for an owner that kept the partition and read nothing. */
	it('gives its jobs up to an entry that reads', async () => {
		world = await createSite();
		const before = world.getOwnerName()!;
		stopReads(before);
		await world.clock.advance(2500);
		const other = [...world.entries.keys()].find(name => name !== before)!;
		await world.submit(jobId, createSpec([createStep()]), other);
		expect(await world.waitFor(() => world.getStarts(`${jobId}.0.0.0`) === 1, 12_000)).toBeDefined();
		expect(world.getOwnerName()).toBe(other);
	});

	/** With the store away for all nobody can have cancelled anything: work goes on. */
	it('goes on while the store is away', async () => {
		world = await createSite();
		world.plan = () => ({workMs: 500});
		await world.submit(jobId, chain);
		await world.clock.advance(2000);
		world.store.fault = () => StoreFault.Refuse;
		const awayAtMs = world.clock.monotonicMs();
		await world.clock.advance(4500);
		expect(getLastStartMs()).toBeGreaterThan(awayAtMs + 3500);
	});
});
