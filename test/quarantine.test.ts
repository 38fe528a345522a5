import {expect, it} from 'vitest';
import {type FleetWorker} from '../src/workflows/fleet-view.ts';
import {type LiveTask} from '../src/workflows/live-model.ts';
import {type Start} from '../src/workflows/placement.ts';
import {Quarantine} from '../src/workflows/quarantine.ts';
import {createWorker, createWorkflow, load} from './site-fleet.ts';
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
		waiting: createSuspects(1), schedulable: workers, nowMs: 1000, place: createPlace(({host}) => host === 'host-11'),
	});
	expect(starts.map(({worker}) => worker.host)).toEqual(['host-11']);
});

it('finds the workers for a suspected gang', () => {
	const workers = createFleet(12);
	const {starts} = createQuarantine(workers).arrange({
		waiting: createSuspects(3, true), schedulable: workers, nowMs: 1000, place: createPlace(({host}) => ['host-7', 'host-9', 'host-11'].includes(host)),
	});
	expect(starts).toHaveLength(3);
});

it('holds at most a tenth of the workers, each for one suspect and closed to others', () => {
	const workers = createFleet(40);
	const quarantine = createQuarantine(workers);
	const {starts, waiting, schedulable: remaining} = quarantine.arrange({
		waiting: createSuspects(20), schedulable: workers, nowMs: 1000, place: createPlace(() => true),
	});
	expect(new Set(starts.map(({worker}) => worker.host)).size).toBe(4);
	expect(starts).toHaveLength(4);
	expect(waiting).toEqual([]);
	expect(remaining).toHaveLength(36);
});
