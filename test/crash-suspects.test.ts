/**
How long tasks wait after a crash of workers on which they had just started, with stand-ins for the store and workers, on manual time.
*/
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {WorkflowState, type WorkflowSpec} from '../src/types/workflows.ts';
import {
	culpritDownMs, getLastCrashMs, getLongestIdleMs, maxIdleMs, maxLastingIdleMs,
} from './idle-times.ts';
import {createJobId, otherId} from './site-setup.ts';
import {createSpec, createStep, SimulatedSite} from './simulated-site.ts';

const maxCrashes = 3;
const downMs = 1000;
const culpritIds = [0xC1, 0xC2, 0xC3].map(number => createJobId(number));
const watchId = createJobId(0xA1);
const jobIds = Array.from({length: 10}, (_, index) => createJobId(0x1_00 + index));
const watch = createSpec([createStep({count: 2, milliCpu: 3200, isLasting: true})]);
const check = createSpec([createStep({count: 20, milliCpu: 240})]);

let site: SimulatedSite;
/** Jobs whose tasks crash each worker that starts them. */
let culprits: string[] = [];
let crashAfterMs = 10;

afterEach(() => {
	site.stop();
	expect(site.violations).toEqual([]);
});

beforeEach(() => {
	culprits = [];
	crashAfterMs = 10;
});

const startSite = async (hosts = 11, entries = 2, milliCpu = 16_000): Promise<void> => {
	site = new SimulatedSite();
	site.plan = ({taskId}) => {
		if (culprits.some(id => taskId.startsWith(id))) {
			return {workMs: undefined, crashAfterMs};
		}

		return {workMs: taskId.startsWith(watchId) ? undefined : 900};
	};

	for (let index = 0; index < hosts; index++) {
		site.addHost(`host-${index}`, milliCpu, ['a', `r1-${Math.floor(index / 3)}`, ...(index < 2 ? ['large'] : [])]);
	}

	for (let index = 0; index < entries; index++) {
		site.startEntry(`entry-${index}`);
	}

	await site.clock.advance(3000);
};

/** Submits jobs at once, and lets time pass until the last of them has started. */
const submitAll = async (specs: Array<[id: string, spec: WorkflowSpec]>): Promise<void> => {
	const {jobs} = site.entries.get('entry-0')!;
	for (const [id, spec] of specs) {
		site.specs.set(id, spec);
		void jobs.submit(site.queue, id, spec, 2500);
	}

	const [lastId] = specs.at(-1)!;
	await site.waitFor(() => site.isRunning(`${lastId}.0.0.0`), 2000);
};

const submitUsual = async (): Promise<void> => submitAll([...jobIds.map((id): [string, WorkflowSpec] => [id, check]), [watchId, watch]]);

const getBusiest = (count: number) => [...site.hosts.values()].toSorted((a, b) => b.worker.running.size - a.worker.running.size).slice(0, count);

const crash = (hosts: Iterable<{worker: {crash: (downMs: number) => void}}>): void => {
	for (const {worker} of hosts) {
		worker.crash(downMs);
	}
};

const expectCompleted = async (ids: string[]): Promise<void> => {
	for (const id of ids) {
		expect(await site.getState(id)).toBe(WorkflowState.Completed);
	}
};

describe('tasks that were young when their worker crashed', () => {
	/** Guards against suspects of one crash that start again two at a time, the long-running ones last, beside idle workers. */
	it('start again in time', async () => {
		await startSite();
		await submitUsual();
		await site.clock.advance(300);
		crash(getBusiest(1));
		await site.clock.advance(20_000);
		expect(getLongestIdleMs(site, jobIds)).toBeLessThan(maxIdleMs);
		expect(getLongestIdleMs(site, [watchId])).toBeLessThan(maxLastingIdleMs);
		await expectCompleted(jobIds);
	});

	it.each([2, 5, 11])('start again in time when %i of 11 workers crash at once, and again 2 s later', async count => {
		await startSite();
		await submitUsual();
		await site.clock.advance(300);
		crash(getBusiest(count));
		await site.clock.advance(downMs + 2000);
		crash(getBusiest(count));
		await site.clock.advance(25_000);
		const calmAtMs = getLastCrashMs(site) + downMs;
		expect(getLongestIdleMs(site, jobIds, calmAtMs)).toBeLessThan(maxIdleMs);
		expect(getLongestIdleMs(site, [watchId], calmAtMs)).toBeLessThan(maxLastingIdleMs);
		await expectCompleted(jobIds);
	});

	/** Guards against a bound on their wait that lets a task crash more workers than before. */
	it.each([
		[1, 1, 10], [1, 1, 300], [1, 6, 300], [3, 1, 10], [3, 1, 300], [3, 6, 300],
	])('start again in time beside %i jobs of %i tasks that crash their workers after %i ms', async (count, tasks, afterMs) => {
		await startSite();
		culprits = culpritIds.slice(0, count);
		crashAfterMs = afterMs;
		const specs = jobIds.map((id): [string, WorkflowSpec] => [id, check]);
		for (const [index, id] of culprits.entries()) {
			specs.splice(3 * index, 0, [id, createSpec([createStep({count: tasks, milliCpu: 240})])]);
		}

		await submitAll([...specs, [watchId, watch]]);
		await site.clock.advance(40_000);
		for (const id of culprits) {
			expect(await site.getState(id)).toBe(WorkflowState.Failed);
			for (let index = 0; index < tasks; index++) {
				expect(site.getStarts(`${id}.0.0.${index}`)).toBeLessThanOrEqual(maxCrashes);
			}
		}

		const calmAtMs = getLastCrashMs(site) + culpritDownMs;
		expect(getLongestIdleMs(site, jobIds, calmAtMs)).toBeLessThan(maxIdleMs);
		expect(getLongestIdleMs(site, [watchId], calmAtMs)).toBeLessThan(maxLastingIdleMs);
		await expectCompleted(jobIds);
	});

	it('start again in time when only the two workers of their kind can run them', async () => {
		await startSite();
		await submitAll(jobIds.slice(0, 3).map(id => [id, createSpec([createStep({count: 20, milliCpu: 240, requiredLabel: 'large'})])]));
		await site.clock.advance(300);
		crash([site.hosts.get('host-0')!, site.hosts.get('host-1')!]);
		await site.clock.advance(20_000);
		expect(getLongestIdleMs(site, jobIds)).toBeLessThan(maxIdleMs);
		await expectCompleted(jobIds.slice(0, 3));
	});

	it('start again in time in gangs', async () => {
		await startSite();
		await submitAll(jobIds.map(id => [id, createSpec([createStep({count: 6, milliCpu: 500, isGang: true})])]));
		await site.clock.advance(300);
		crash(getBusiest(2));
		await site.clock.advance(20_000);
		expect(getLongestIdleMs(site, jobIds)).toBeLessThan(maxIdleMs);
		await expectCompleted(jobIds);
	});

	it('start again in time when there are hundreds of them', async () => {
		await startSite();
		await submitAll(jobIds.map(id => [id, createSpec([createStep({count: 60, milliCpu: 20, memoryMb: 10})])]));
		await site.clock.advance(300);
		crash(getBusiest(1));
		await site.clock.advance(20_000);
		expect(getLongestIdleMs(site, jobIds)).toBeLessThan(maxIdleMs);
		await expectCompleted(jobIds);
	});

	it('start again in time on a site of two workers', async () => {
		await startSite(2);
		await submitAll(jobIds.slice(0, 4).map(id => [id, check]));
		await site.clock.advance(300);
		crash(getBusiest(1));
		await site.clock.advance(20_000);
		expect(getLongestIdleMs(site, jobIds)).toBeLessThan(maxIdleMs);
		await expectCompleted(jobIds.slice(0, 4));
	});

	/** Guards against a next owner that counts their wait anew. */
	it.each([1100, 2000, 4000])('start again in time although their owner is lost %i ms after the crash', async lostAfterMs => {
		await startSite(11, 3);
		await submitUsual();
		await site.clock.advance(300);
		crash(getBusiest(3));
		await site.clock.advance(lostAfterMs);
		site.killEntry(site.getOwnerName()!);
		const tookOverMs = await site.waitFor(() => site.getOwnerName() !== undefined, 10_000);
		expect(tookOverMs).toBeDefined();
		await site.clock.advance(25_000);
		expect(getLongestIdleMs(site, [...jobIds, watchId])).toBeLessThan(maxIdleMs + tookOverMs!);
		await expectCompleted(jobIds);
	});

	it('let other tasks start meanwhile', async () => {
		await startSite();
		await submitUsual();
		await site.clock.advance(300);
		crash(getBusiest(3));
		await site.clock.advance(downMs + 300);
		const submittedAtMs = site.clock.monotonicMs();
		await submitAll([[otherId, createSpec([createStep({count: 10, milliCpu: 240})])]]);
		expect(site.clock.monotonicMs() - submittedAtMs).toBeLessThan(250);
	});
});
