/**
Tasks that crash the worker on which they start, with stand-ins for the store and workers, on manual time.
*/
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {StoreFault} from '../src/standin/memory-store.ts';
import {WorkflowState, type WorkflowStep} from '../src/types/workflows.ts';
import {
	createJobId, createSite, jobId, otherId,
} from './site-setup.ts';
import {
	createSpec, createStep, queue, SimulatedSite,
} from './simulated-site.ts';

let site: SimulatedSite;

afterEach(() => {
	site.stop();
	expect(site.violations).toEqual([]);
});

/** A task may crash at most this many workers. */
const maxCrashes = 3;
const crashAfterMs = 10;

/** Makes every run of a task of these jobs crash its worker; other tasks work for the time given. */
const planCrashes = (ids: string[], workMs = 1000): void => {
	site.plan = ({taskId}) => ids.includes(taskId.split('.')[0]!) ? {workMs: undefined, crashAfterMs} : {workMs};
};

const submitTasks = async (id: string, step: Partial<WorkflowStep>): Promise<void> => {
	await site.submit(id, createSpec([createStep(step)]));
};

const isFinished = async (id: string): Promise<boolean> => {
	const state = await site.getState(id);
	return state === WorkflowState.Failed || state === WorkflowState.Completed;
};

/** Advances until the jobs have completed or failed, at most to the bound. */
const waitUntilFinished = async (ids: string[], boundMs: number): Promise<void> => {
	const startMs = site.clock.monotonicMs();
	while (site.clock.monotonicMs() - startMs < boundMs) {
		const areFinished = await Promise.all(ids.map(async id => isFinished(id)));
		if (areFinished.every(Boolean)) {
			return;
		}

		await site.clock.advance(500);
	}
};

/** Cuts the power of the host on which the task runs, agent and worker, for 1.5 s. */
const losePower = async (taskId: string): Promise<void> => {
	await site.waitFor(() => site.isRunning(taskId), 20_000);
	const {name, worker} = [...site.hosts.values()].find(host => host.worker.running.has(taskId))!;
	worker.crash(1500);
	site.killAgent(name);
	await site.clock.advance(1500);
	site.startAgent(name);
};

describe('a task that crashes its workers', () => {
	it('fails after three crashes, and other tasks on its workers complete', async () => {
		site = await createSite(6);
		planCrashes([jobId]);
		await submitTasks(otherId, {count: 12});
		await submitTasks(jobId, {});
		await waitUntilFinished([jobId, otherId], 30_000);
		expect(await site.getState(otherId)).toBe(WorkflowState.Completed);
		expect(await site.getState(jobId)).toBe(WorkflowState.Failed);
		expect(site.getStarts(`${jobId}.0.0.0`)).toBeLessThanOrEqual(maxCrashes);
	});

	it('fails as well when there are other such tasks', async () => {
		site = await createSite(8);
		const ids = [1, 2, 3].map(number => createJobId(number));
		planCrashes(ids);
		await submitTasks(otherId, {count: 12});
		for (const id of ids) {
			await submitTasks(id, {});
		}

		await waitUntilFinished([...ids, otherId], 45_000);
		expect(await site.getState(otherId)).toBe(WorkflowState.Completed);
		for (const id of ids) {
			expect(await site.getState(id)).toBe(WorkflowState.Failed);
			expect(site.getStarts(`${id}.0.0.0`)).toBeLessThanOrEqual(maxCrashes);
		}
	});

	it('is not started more often when its owner dies after two crashes', async () => {
		site = await createSite(6);
		planCrashes([jobId]);
		await submitTasks(jobId, {});
		await site.waitFor(() => site.getStarts(`${jobId}.0.0.0`) === 2, 20_000);
		await site.clock.advance(100);
		site.killEntry(site.getOwnerName()!);
		await waitUntilFinished([jobId], 40_000);
		expect(await site.getState(jobId)).toBe(WorkflowState.Failed);
		expect(site.getStarts(`${jobId}.0.0.0`)).toBeLessThanOrEqual(maxCrashes);
	});

	it('is not started more often when the store refuses appends during the crashes and then the owner dies', async () => {
		site = await createSite(6);
		planCrashes([jobId]);
		await submitTasks(jobId, {});
		const owner = site.getOwnerName()!;
		site.store.getFault = ({kind, client}) => kind === 'append' && client === owner ? StoreFault.Refuse : StoreFault.None;
		await site.waitFor(() => site.getStarts(`${jobId}.0.0.0`) === 2, 20_000);
		await site.clock.advance(4000);
		site.killEntry(owner);
		site.store.getFault = () => StoreFault.None;
		await waitUntilFinished([jobId], 40_000);
		expect(await site.getState(jobId)).toBe(WorkflowState.Failed);
		expect(site.getStarts(`${jobId}.0.0.0`)).toBeLessThanOrEqual(maxCrashes);
	});

	it('is not started more often when its worker crashes while the job has no owner', async () => {
		site = await createSite(6, 1);
		planCrashes([jobId]);
		await submitTasks(jobId, {});
		await site.waitFor(() => site.getStarts(`${jobId}.0.0.0`) === 2, 20_000);
		site.killEntry(site.getOwnerName()!);
		await site.clock.advance(6000);
		site.startEntry('entry-1');
		await waitUntilFinished([jobId], 40_000);
		expect(await site.getState(jobId)).toBe(WorkflowState.Failed);
		expect(site.getStarts(`${jobId}.0.0.0`)).toBeLessThanOrEqual(maxCrashes);
	});

	it('fails with any kind of step', async () => {
		const forms: Array<Partial<WorkflowStep>> = [
			{isLasting: true}, {isSpeculative: true}, {isCheckpointing: true}, {isFilling: true}, {isGang: true, count: 2},
		];
		for (const form of forms) {
			site = await createSite(6);
			planCrashes([jobId]);
			await submitTasks(jobId, form);
			await waitUntilFinished([jobId], 45_000);
			expect(await site.getState(jobId), JSON.stringify(form)).toBe(WorkflowState.Failed);
			expect(site.getStarts(`${jobId}.0.0.0`), JSON.stringify(form)).toBeLessThanOrEqual(maxCrashes);
			site.stop();
		}
	});

	it('leaves nine tenths of the workers of a large site available, also in a burst of a hundred such tasks', async () => {
		site = new SimulatedSite();
		const hosts = Array.from({length: 160}, (_, index) => site.addHost(`host-${index}`, 16_000));
		site.startEntry('entry-0');
		await site.clock.advance(2000);
		const ids = Array.from({length: 100}, (_, index) => createJobId(index + 1));
		planCrashes(ids);
		let mostAway = 0;
		const look = () => {
			mostAway = Math.max(mostAway, hosts.filter(({worker}) => worker.isDown).length);
			site.clock.setTimer(look, 50);
		};

		look();
		for (const id of ids) {
			void site.entries.get('entry-0')!.jobs.submit(queue, id, createSpec([createStep()]), 2500);
			site.specs.set(id, createSpec([createStep()]));
		}

		await submitTasks(otherId, {count: 200});
		await waitUntilFinished([otherId], 20_000);
		expect(await site.getState(otherId)).toBe(WorkflowState.Completed);
		await waitUntilFinished(ids, 60_000);
		expect(mostAway).toBeLessThanOrEqual(16);
		for (const id of ids) {
			expect(site.getStarts(`${id}.0.0.0`)).toBeLessThanOrEqual(maxCrashes);
		}
	});
});

describe('an ordinary task', () => {
	it('does not fail when its workers crash for other reasons', async () => {
		site = await createSite(4);
		planCrashes([], 4000);
		await submitTasks(jobId, {count: 8});
		for (let crash = 0; crash < 10; crash++) {
			await site.clock.advance(900);
			site.hosts.get(`host-${crash % 4}`)!.worker.crash(500);
		}

		await waitUntilFinished([jobId], 40_000);
		expect(await site.getState(jobId)).toBe(WorkflowState.Completed);
	});

	it('does not fail next to tasks that crash one worker after the other', async () => {
		site = await createSite(4);
		const culprits = Array.from({length: 6}, (_, index) => createJobId(index + 1));
		const ordinary = Array.from({length: 24}, (_, index) => createJobId(index + 0x1_00));
		planCrashes(culprits, 3000);
		for (const [index, id] of ordinary.entries()) {
			await submitTasks(id, {milliCpu: 500});
			if (index % 4 === 3) {
				await submitTasks(culprits[(index - 3) / 4]!, {milliCpu: 500});
			}

			await site.clock.advance(300);
		}

		await waitUntilFinished([...ordinary, ...culprits], 90_000);
		for (const id of ordinary) {
			expect(await site.getState(id)).toBe(WorkflowState.Completed);
		}

		for (const id of culprits) {
			expect(await site.getState(id)).toBe(WorkflowState.Failed);
			expect(site.getStarts(`${id}.0.0.0`)).toBeLessThanOrEqual(maxCrashes);
		}
	});

	it('does not fail because of a worker that crashes with any task', async () => {
		site = await createSite(4);
		const ids = Array.from({length: 40}, (_, index) => createJobId(index + 1));
		site.plan = ({taskId}) => ({workMs: taskId.startsWith(otherId) ? undefined : 1000});
		await submitTasks(otherId, {count: 4, isLasting: true, maxPerWorker: 1});
		await site.clock.advance(500);
		const {worker} = site.hosts.get('host-1')!;
		worker.isCrashLooping = true;
		worker.crash(500);
		for (const id of ids) {
			await submitTasks(id, {milliCpu: 500});
			await site.clock.advance(150);
		}

		await waitUntilFinished(ids, 60_000);
		for (const id of ids) {
			expect(await site.getState(id)).toBe(WorkflowState.Completed);
		}

		await site.clock.advance(20_000);
		expect(await site.getState(otherId)).toBe(WorkflowState.Running);
		worker.isCrashLooping = false;
		expect(await site.waitFor(() => [0, 1, 2, 3].every(index => site.isRunning(`${otherId}.0.0.${index}`)), 20_000)).toBeDefined();
	});

	it('does not fail when its hosts lose power', async () => {
		site = await createSite(3);
		planCrashes([], 3000);
		await submitTasks(jobId, {count: 3, milliCpu: 3000});
		for (let crash = 0; crash < 5; crash++) {
			await losePower(`${jobId}.0.0.0`);
		}

		await waitUntilFinished([jobId], 40_000);
		expect(await site.getState(jobId)).toBe(WorkflowState.Completed);
	});
});
