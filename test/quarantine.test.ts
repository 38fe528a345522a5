import {expect, it} from 'vitest';
import {type FleetWorker} from '../src/workflows/fleet-view.ts';
import {RunPhase, type LiveTask} from '../src/workflows/live-model.ts';
import {type Start} from '../src/workflows/placement.ts';
import {Quarantine} from '../src/workflows/quarantine.ts';
import {
	createWorker, createWorkflow, load, run,
} from './site-fleet.ts';
import {createSpec, createStep} from './simulated-site.ts';

const createFleet = (size: number): FleetWorker[] =>
	Array.from({length: size}, (_, index) => ({...createWorker(`host-${index}`), isAnswering: true, unresponsiveSinceMs: undefined}));

/** Creates waiting tasks, under each of which a worker has crashed. */
const createSuspects = (count: number, isGang = false): LiveTask[] => {
	const {model} = load([createWorkflow('0000000000000001', createSpec([createStep({count, isGang})]))]);
	const tasks = [...model.getWaitingTasks(0, () => false)];
	for (const task of tasks) {
		task.crashes.push({
			run: 1, ageMs: 10, isNewest: false, host: 'gone', isHostProven: false, atMs: 0,
		});
	}

	return tasks;
};

const createQuarantine = (workers: FleetWorker[]): Quarantine => new Quarantine({
	workers: new Map(workers.map(worker => [worker.host, worker])), note: () => undefined,
});

/** Places one task on each worker that may take one; all tasks or none. */
const createPlace = (mayTake: (worker: FleetWorker) => boolean) => (tasks: LiveTask[], workers: FleetWorker[]): Start[] => {
	const suitable = workers.filter(worker => mayTake(worker));
	return suitable.length < tasks.length ? [] : tasks.map((task, index) => ({task, worker: suitable[index]!, isIdleStart: false}));
};

it('finds the one worker that may take a suspect', () => {
	const workers = createFleet(12);
	const {starts} = createQuarantine(workers).arrange({
		waiting: createSuspects(1), schedulable: workers, nowMs: 1000, wallMs: 1000, place: createPlace(({host}) => host === 'host-11'),
	});
	expect(starts.map(({worker}) => worker.host)).toEqual(['host-11']);
});

it('finds the workers for a suspected gang', () => {
	const workers = createFleet(12);
	const {starts} = createQuarantine(workers).arrange({
		waiting: createSuspects(3, true), schedulable: workers, nowMs: 1000, wallMs: 1000, place: createPlace(({host}) => ['host-7', 'host-9', 'host-11'].includes(host)),
	});
	expect(starts).toHaveLength(3);
});

it('holds at most a tenth of the workers, each for one suspect and closed to others', () => {
	const workers = createFleet(40);
	const quarantine = createQuarantine(workers);
	const {starts, waiting, schedulable: remaining} = quarantine.arrange({
		waiting: createSuspects(20), schedulable: workers, nowMs: 1000, wallMs: 1000, place: createPlace(() => true),
	});
	expect(new Set(starts.map(({worker}) => worker.host)).size).toBe(4);
	expect(starts).toHaveLength(4);
	expect(waiting).toEqual([]);
	expect(remaining).toHaveLength(36);
});

it('starts all suspects of a crash at once on a site of a thousand workers', () => {
	const workers = createFleet(1000);
	const {starts, schedulable: remaining} = createQuarantine(workers).arrange({
		waiting: createSuspects(60), schedulable: workers, nowMs: 0, wallMs: 0, place: createPlace(() => true),
	});
	expect(starts).toHaveLength(60);
	expect(remaining).toHaveLength(940);
});

it('tries one suspect of each job at a time beyond its ordinary share of the workers, and leaves half of them to other tasks', () => {
	const workers = createFleet(11);
	const createJobSuspects = () => Array.from({length: 30}, () => createSuspects(20)).flat();
	const arrange = (waiting: LiveTask[]) => createQuarantine(workers).arrange({
		waiting, schedulable: workers, nowMs: 0, wallMs: 0, place: createPlace(() => true),
	});
	expect(arrange(createSuspects(20)).starts).toHaveLength(2);
	const {starts, schedulable: remaining} = arrange(createJobSuspects().map((task, index) => ({...task, ref: {...task.ref, workflowId: String(index % 30)}})));
	expect(starts).toHaveLength(5);
	expect(remaining).toHaveLength(6);
});

/** Guards against suspects that wait without a bound, because each is tried by itself. */
it('starts suspects that have waited for too long beside each other, on the workers that it may hold', () => {
	const workers = createFleet(40);
	const {starts, schedulable: remaining} = createQuarantine(workers).arrange({
		waiting: createSuspects(200), schedulable: workers, nowMs: 4500, wallMs: 4500, place: (tasks, [worker]) => tasks.map(task => ({task, worker: worker!, isIdleStart: false})),
	});
	expect(starts).toHaveLength(200);
	expect(remaining.length).toBeGreaterThanOrEqual(20);
});

/** Guards against a reservation that outlasts the bound, because a start on the reserved worker is not confirmed. */
it('starts a suspect elsewhere whose reserved worker does not confirm another start', () => {
	const workers = createFleet(2);
	const [neighbour, suspect] = createSuspects(2);
	neighbour!.crashes = [];
	run(neighbour!, workers[0]!, {phase: RunPhase.Starting, orderedAtMs: 100});
	const quarantine = createQuarantine(workers);
	const arrange = (nowMs: number) => quarantine.arrange({
		waiting: [suspect!], schedulable: workers, nowMs, wallMs: nowMs, place: (tasks, [worker]) => tasks.map(task => ({task, worker: worker!, isIdleStart: false})),
	}).starts;
	expect(quarantine.arrange({
		waiting: [suspect!], schedulable: [workers[0]!], nowMs: 1000, wallMs: 1000, place: createPlace(() => true),
	}).starts).toEqual([]);
	expect(arrange(4600)).toHaveLength(1);
});

/** Guards against an owner that counts the wait of suspects anew, which an earlier owner has counted. */
it('counts the wait from the crash, also when another owner has counted that', () => {
	const workers = createFleet(40);
	const waiting = createSuspects(30);
	for (const task of waiting) {
		task.waitingSinceMs = 100_000;
		task.crashes[0]!.atMs = 2000;
	}

	const {starts} = createQuarantine(workers).arrange({
		waiting, schedulable: workers, nowMs: 100_000, wallMs: 7000, place: (tasks, [worker]) => tasks.map(task => ({task, worker: worker!, isIdleStart: false})),
	});
	expect(starts).toHaveLength(30);
});
