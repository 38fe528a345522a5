/**
Losses of power of all hosts of a site, and entries that come back in different orders and on different links.
*/
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {StoreFault} from '../src/standin/memory-store.ts';
import {WorkflowState} from '../src/types/workflows.ts';
import {workflowsTopic} from '../src/workflows/records.ts';
import {createSite, jobId} from './site-setup.ts';
import {
	createSpec, createStep, type SimulatedSite,
} from './simulated-site.ts';

/** A started job runs again within this time after the entries are back. */
const recoveryMs = 6000;
/** An owner that reads nothing releases its jobs after this, and another entry acquires them within `takeoverMs`. */
const releaseMs = 6000;
const takeoverMs = 2000;

let site: SimulatedSite;

afterEach(() => {
	site.stop();
	expect(site.violations).toEqual([]);
});

/** Ends all processes of all hosts at once; workers come back as new incarnations that run nothing. */
const losePower = (): void => {
	for (const name of site.entries.keys()) {
		site.killEntry(name);
	}

	for (const {name, worker} of site.hosts.values()) {
		site.killAgent(name);
		worker.crash();
	}
};

const startAgents = (): void => {
	for (const name of site.hosts.keys()) {
		site.startAgent(name);
	}
};

const tasks = 4;
const longSpec = createSpec([createStep({count: tasks})]);
const countRunning = (): number => Array.from({length: tasks}, (_, index) => site.isRunning(`${jobId}.0.0.${index}`)).filter(Boolean).length;

describe('after a loss of power of all hosts', () => {
	/** Guards against jobs that wait after a second loss of power, where the group still lists members of the first. */
	it.each([
		['in the same order', ['entry-0', 'entry-1', 'entry-2'], ['entry-0', 'entry-1', 'entry-2']],
		['in another order', ['entry-2', 'entry-1', 'entry-0'], ['entry-1', 'entry-0', 'entry-2']],
	])('twice, entries that come back %s run the started job again', async (_, ...orders) => {
		site = await createSite(2, 3);
		site.plan = () => ({workMs: 20_000});
		await site.submit(jobId, longSpec);
		await site.clock.advance(1500);
		for (const order of orders) {
			expect(countRunning()).toBe(tasks);
			losePower();
			await site.clock.advance(1300);
			startAgents();
			for (const name of order) {
				site.startEntry(name);
				await site.clock.advance(250);
			}

			expect(await site.waitFor(() => countRunning() === tasks, recoveryMs)).toBeDefined();
			await site.clock.advance(1000);
		}

		await site.clock.advance(25_000);
		expect(await site.getState(jobId)).toBe(WorkflowState.Completed);
	});

	/** Guards against small entries that wait for a larger one which is not back, and against two owners when it is. */
	it.each([
		['last', 4000],
		['first', 0],
	])('an entry with enough processors that comes back %s owns, and the job runs again', async (_, largeAfterMs) => {
		site = await createSite(2, 0);
		site.startEntry('large');
		await site.clock.advance(1000);
		site.startEntry('small', 0.001);
		await site.clock.advance(2000);
		site.plan = () => ({workMs: 20_000});
		await site.submit(jobId, longSpec, 'large');
		await site.clock.advance(1500);
		losePower();
		await site.clock.advance(1300);
		startAgents();
		if (largeAfterMs === 0) {
			site.startEntry('large');
		}

		site.startEntry('small', 0.001);
		site.clock.setTimer(() => {
			if (largeAfterMs > 0) {
				site.startEntry('large');
			}
		}, largeAfterMs);
		expect(await site.waitFor(() => countRunning() === tasks, recoveryMs)).toBeDefined();
		await site.clock.advance(8000);
		expect(countRunning()).toBe(tasks);
	});

	/** Guards against small entries that stand by without end for a dead owner whose host is back, answers, and does not read the stream. */
	it('an entry with too few processors owns while the larger one of the last owner is back and reads nothing', async () => {
		site = await createSite(2, 0);
		site.startEntry('large');
		await site.clock.advance(1000);
		site.startEntry('small', 0.001);
		await site.clock.advance(2000);
		site.plan = () => ({workMs: 20_000});
		await site.submit(jobId, longSpec, 'large');
		await site.clock.advance(1500);
		expect(site.getOwnerName()).toBe('large');
		losePower();
		await site.clock.advance(1300);
		startAgents();
		site.store.getFault = ({client, kind, ref}) => client === 'large' && kind === 'read' && ref?.topic === workflowsTopic ? StoreFault.LoseRequest : StoreFault.None;
		site.startEntry('large');
		site.startEntry('small', 0.001);
		expect(await site.waitFor(() => countRunning() === tasks, recoveryMs)).toBeDefined();
	});

	/** Guards against entries that do not resume after the store was silent to all when they started. */
	it.each([1000, 5000, 12_000])('with the store silent for %i ms more, the job runs again after it', async silentMs => {
		site = await createSite(2, 3);
		site.plan = () => ({workMs: 30_000});
		await site.submit(jobId, longSpec);
		await site.clock.advance(1500);
		losePower();
		await site.clock.advance(1300);
		site.store.getFault = () => StoreFault.LoseRequest;
		startAgents();
		for (const name of ['entry-2', 'entry-0', 'entry-1']) {
			site.startEntry(name);
		}

		await site.clock.advance(silentMs);
		site.store.getFault = () => StoreFault.None;
		expect(await site.waitFor(() => countRunning() === tasks, recoveryMs)).toBeDefined();
	});

	/** Guards against an owner that has joined after it read the stream, reads nothing more, and keeps the jobs. */
	it('an owner whose reads stall right after it has joined does not keep the jobs', async () => {
		site = await createSite(2, 2);
		site.plan = () => ({workMs: 30_000});
		await site.submit(jobId, longSpec);
		await site.clock.advance(1500);
		losePower();
		await site.clock.advance(1300);
		startAgents();
		site.startEntry('entry-0');
		expect(await site.waitFor(() => site.getOwnerName() === 'entry-0', 3000)).toBeDefined();
		site.store.getFault = ({client, kind, ref}) => client === 'entry-0' && kind === 'read' && ref?.topic === workflowsTopic ? StoreFault.LoseRequest : StoreFault.None;
		site.startEntry('entry-1');
		expect(await site.waitFor(() => countRunning() === tasks, releaseMs + takeoverMs)).toBeDefined();
		expect(site.getOwnerName()).toBe('entry-1');
	});
});
