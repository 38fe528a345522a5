/**
Tasks that take the worker down on which they start, with the store and workers as stand-ins on manual time.
*/
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {StoreFault} from '../src/standin/memory-store.ts';
import {WorkflowState, type WorkflowStep} from '../src/types/workflows.ts';
import {createSite, jobId, otherId} from './site-setup.ts';
import {
	createSpec, createStep, queue, SiteWorld,
} from './site-world.ts';

let world: SiteWorld;

afterEach(() => {
	world.stop();
	expect(world.violations).toEqual([]);
});

/** The aim: a task takes at most so many workers down. */
const maxCrashes = 3;
const crashAfterMs = 10;

const createName = (number: number): string => number.toString(16).padStart(16, '0');

/** Every run of a task of these jobs takes its worker down; the others work for a while. */
const crashUnder = (ids: string[], workMs = 1000): void => {
	world.plan = ({taskId}) => ids.includes(taskId.split('.')[0]!) ? {workMs: undefined, crashAfterMs} : {workMs};
};

const createTasks = async (id: string, step: Partial<WorkflowStep>): Promise<void> => {
	await world.submit(id, createSpec([createStep(step)]));
};

const isOver = async (id: string): Promise<boolean> => {
	const state = await world.getState(id);
	return state === WorkflowState.Failed || state === WorkflowState.Completed;
};

/** Advances until the jobs are over, as far as the time allows. */
const waitUntilOver = async (ids: string[], boundMs: number): Promise<void> => {
	const startMs = world.clock.monotonicMs();
	while (world.clock.monotonicMs() - startMs < boundMs) {
		const areOver = await Promise.all(ids.map(async id => isOver(id)));
		if (areOver.every(Boolean)) {
			return;
		}

		await world.clock.advance(500);
	}
};

/** The host on which the task runs is without power for a while, agent and worker alike. */
const losePower = async (taskId: string): Promise<void> => {
	await world.waitFor(() => world.isRunning(taskId), 20_000);
	const {name, worker} = [...world.hosts.values()].find(host => host.worker.running.has(taskId))!;
	worker.crash(1500);
	world.killAgent(name);
	await world.clock.advance(1500);
	world.startAgent(name);
};

describe('a task that takes its workers down', () => {
	it('is given up after three crashes, and what runs beside it completes', async () => {
		world = await createSite(6);
		crashUnder([jobId]);
		await createTasks(otherId, {count: 12});
		await createTasks(jobId, {});
		await waitUntilOver([jobId, otherId], 30_000);
		expect(await world.getState(otherId)).toBe(WorkflowState.Completed);
		expect(await world.getState(jobId)).toBe(WorkflowState.Failed);
		expect(world.getStarts(`${jobId}.0.0.0`)).toBeLessThanOrEqual(maxCrashes);
	});

	it('is given up as well beside others of its kind', async () => {
		world = await createSite(8);
		const ids = [1, 2, 3].map(number => createName(number));
		crashUnder(ids);
		await createTasks(otherId, {count: 12});
		for (const id of ids) {
			await createTasks(id, {});
		}

		await waitUntilOver([...ids, otherId], 45_000);
		expect(await world.getState(otherId)).toBe(WorkflowState.Completed);
		for (const id of ids) {
			expect(await world.getState(id)).toBe(WorkflowState.Failed);
			expect(world.getStarts(`${id}.0.0.0`)).toBeLessThanOrEqual(maxCrashes);
		}
	});

	it('is not started more often where its owner dies after two crashes', async () => {
		world = await createSite(6);
		crashUnder([jobId]);
		await createTasks(jobId, {});
		await world.waitFor(() => world.getStarts(`${jobId}.0.0.0`) === 2, 20_000);
		await world.clock.advance(100);
		world.killEntry(world.getOwnerName()!);
		await waitUntilOver([jobId], 40_000);
		expect(await world.getState(jobId)).toBe(WorkflowState.Failed);
		expect(world.getStarts(`${jobId}.0.0.0`)).toBeLessThanOrEqual(maxCrashes);
	});

	it('is not started more often where the store takes nothing as its workers crash and then the owner dies', async () => {
		world = await createSite(6);
		crashUnder([jobId]);
		await createTasks(jobId, {});
		const owner = world.getOwnerName()!;
		world.store.fault = ({kind, client}) => kind === 'append' && client === owner ? StoreFault.Refuse : StoreFault.None;
		await world.waitFor(() => world.getStarts(`${jobId}.0.0.0`) === 2, 20_000);
		await world.clock.advance(4000);
		world.killEntry(owner);
		world.store.fault = () => StoreFault.None;
		await waitUntilOver([jobId], 40_000);
		expect(await world.getState(jobId)).toBe(WorkflowState.Failed);
		expect(world.getStarts(`${jobId}.0.0.0`)).toBeLessThanOrEqual(maxCrashes);
	});

	it('is not started more often where its worker crashes while nobody owns it', async () => {
		world = await createSite(6, 1);
		crashUnder([jobId]);
		await createTasks(jobId, {});
		await world.waitFor(() => world.getStarts(`${jobId}.0.0.0`) === 2, 20_000);
		world.killEntry(world.getOwnerName()!);
		await world.clock.advance(6000);
		world.startEntry('entry-1');
		await waitUntilOver([jobId], 40_000);
		expect(await world.getState(jobId)).toBe(WorkflowState.Failed);
		expect(world.getStarts(`${jobId}.0.0.0`)).toBeLessThanOrEqual(maxCrashes);
	});

	it('is given up whatever its step asks for', async () => {
		const forms: Array<Partial<WorkflowStep>> = [
			{isLasting: true}, {isSpeculative: true}, {isCheckpointing: true}, {isFilling: true}, {isGang: true, count: 2},
		];
		for (const form of forms) {
			world = await createSite(6);
			crashUnder([jobId]);
			await createTasks(jobId, form);
			await waitUntilOver([jobId], 45_000);
			expect(await world.getState(jobId), JSON.stringify(form)).toBe(WorkflowState.Failed);
			expect(world.getStarts(`${jobId}.0.0.0`), JSON.stringify(form)).toBeLessThanOrEqual(maxCrashes);
			world.stop();
		}
	});

	it('leaves nine tenths of the workers of a large site at work, also in a burst of a hundred', async () => {
		world = new SiteWorld();
		const hosts = Array.from({length: 160}, (_, index) => world.addHost(`host-${index}`, 16_000));
		world.startEntry('entry-0');
		await world.clock.advance(2000);
		const ids = Array.from({length: 100}, (_, index) => createName(index + 1));
		crashUnder(ids);
		let mostAway = 0;
		const look = () => {
			mostAway = Math.max(mostAway, hosts.filter(({worker}) => worker.isAway).length);
			world.clock.setTimer(look, 50);
		};

		look();
		for (const id of ids) {
			void world.entries.get('entry-0')!.jobs.submit(queue, id, createSpec([createStep()]), 2500);
			world.specs.set(id, createSpec([createStep()]));
		}

		await createTasks(otherId, {count: 200});
		await waitUntilOver([otherId], 20_000);
		expect(await world.getState(otherId)).toBe(WorkflowState.Completed);
		await waitUntilOver(ids, 60_000);
		expect(mostAway).toBeLessThanOrEqual(16);
		for (const id of ids) {
			expect(world.getStarts(`${id}.0.0.0`)).toBeLessThanOrEqual(maxCrashes);
		}
	});
});

describe('an ordinary task', () => {
	it('is not given up where workers crash under it for other reasons', async () => {
		world = await createSite(4);
		crashUnder([], 4000);
		await createTasks(jobId, {count: 8});
		for (let crash = 0; crash < 10; crash++) {
			await world.clock.advance(900);
			world.hosts.get(`host-${crash % 4}`)!.worker.crash(500);
		}

		await waitUntilOver([jobId], 40_000);
		expect(await world.getState(jobId)).toBe(WorkflowState.Completed);
	});

	it('is not given up beside tasks that take their workers down one after the other', async () => {
		world = await createSite(4);
		const culprits = Array.from({length: 6}, (_, index) => createName(index + 1));
		const ordinary = Array.from({length: 24}, (_, index) => createName(index + 0x1_00));
		crashUnder(culprits, 3000);
		for (const [index, id] of ordinary.entries()) {
			await createTasks(id, {milliCpu: 500});
			if (index % 4 === 3) {
				await createTasks(culprits[(index - 3) / 4]!, {milliCpu: 500});
			}

			await world.clock.advance(300);
		}

		await waitUntilOver([...ordinary, ...culprits], 90_000);
		for (const id of ordinary) {
			expect(await world.getState(id)).toBe(WorkflowState.Completed);
		}

		for (const id of culprits) {
			expect(await world.getState(id)).toBe(WorkflowState.Failed);
			expect(world.getStarts(`${id}.0.0.0`)).toBeLessThanOrEqual(maxCrashes);
		}
	});

	it('is not given up for a worker that crashes whatever it starts', async () => {
		world = await createSite(4);
		const ids = Array.from({length: 40}, (_, index) => createName(index + 1));
		world.plan = ({taskId}) => ({workMs: taskId.startsWith(otherId) ? undefined : 1000});
		await createTasks(otherId, {count: 4, isLasting: true, maxPerWorker: 1});
		await world.clock.advance(500);
		const {worker} = world.hosts.get('host-1')!;
		worker.isBroken = true;
		worker.crash(500);
		for (const id of ids) {
			await createTasks(id, {milliCpu: 500});
			await world.clock.advance(150);
		}

		await waitUntilOver(ids, 60_000);
		for (const id of ids) {
			expect(await world.getState(id)).toBe(WorkflowState.Completed);
		}

		await world.clock.advance(20_000);
		expect(await world.getState(otherId)).toBe(WorkflowState.Running);
		worker.isBroken = false;
		expect(await world.waitFor(() => [0, 1, 2, 3].every(index => world.isRunning(`${otherId}.0.0.${index}`)), 20_000)).toBeDefined();
	});

	it('is not given up where hosts lose power under it', async () => {
		world = await createSite(3);
		crashUnder([], 3000);
		await createTasks(jobId, {count: 3, milliCpu: 3000});
		for (let crash = 0; crash < 5; crash++) {
			await losePower(`${jobId}.0.0.0`);
		}

		await waitUntilOver([jobId], 40_000);
		expect(await world.getState(jobId)).toBe(WorkflowState.Completed);
	});
});
