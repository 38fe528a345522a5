import {expect, it} from 'vitest';
import {type WatchReply} from '../src/types/fleet.ts';
import {ManualClock} from '../src/utils/manual-clock.ts';
import {CrashMonitor} from '../src/workflows/crash-monitor.ts';
import {type LiveRun} from '../src/workflows/live-model.ts';
import {type AttributedCrash} from '../src/workflows/records.ts';
import {type RunTracker} from '../src/workflows/run-tracker.ts';
import {
	createWorker, createWorkflow, load, run,
} from './site-fleet.ts';
import {createSpec, createStep} from './simulated-site.ts';

const id = '0000000000000001';

const createMonitor = () => {
	const {model} = load([createWorkflow(id, createSpec([createStep()]))]);
	const [task] = [...model.getWaitingTasks(0, () => false)];
	const lost: LiveRun[] = [];
	const stored: AttributedCrash[] = [];
	const monitor = new CrashMonitor({
		clock: new ManualClock(),
		tracker: {markLost: (live: LiveRun) => lost.push(live)} as unknown as RunTracker,
		getTask: () => task,
		async store(crashes) {
			stored.push(...crashes);
			return true;
		},
		onLikelyCause: () => undefined,
		onCrashLimit: () => undefined,
		note: () => undefined,
	});
	return {
		monitor, task: task!, lost, stored,
	};
};

const createReply = (workerId: string): WatchReply => ({
	agentLife: 'life',
	crashed: [{
		number: 1, workerId, taskId: `${id}.0.0.0`, run: 1, ageMs: 10,
	}],
} as unknown as WatchReply);

it('marks a run as lost when its worker crashes, and counts the crash once', () => {
	const {monitor, task, lost, stored} = createMonitor();
	const worker = createWorker('host');
	const live = run(task, worker);
	monitor.handleReply(worker, createReply(live.workerId), 1000);
	monitor.handleReply(worker, createReply(live.workerId), 2000);
	expect(lost).toEqual([live]);
	expect(stored).toHaveLength(1);
});

it('does not mark a run with the same number on the next incarnation of the worker as lost', () => {
	const {monitor, task, lost, stored} = createMonitor();
	const worker = createWorker('host');
	run(task, worker, {workerId: 'host-2'});
	monitor.handleReply(worker, createReply('host-1'), 1000);
	expect(lost).toEqual([]);
	expect(stored).toHaveLength(1);
});

/** Guards against a run number that is used again by a new owner. */
it('takes the number of a crashed run that it does not know for used', () => {
	const {monitor, task} = createMonitor();
	const reply = createReply('host-1');
	reply.crashed[0]!.run = 3;
	monitor.handleReply(createWorker('host'), reply, 1000);
	expect(task.lastRun).toBe(3);
});

/** Guards against a crash that is forgotten by its agent and then lost with the owner: it would count nowhere. */
it('lets the agent forget a crash only once the crashes before it are stored', async () => {
	const {model} = load([createWorkflow(id, createSpec([createStep({count: 2})]))]);
	const tasks = [...model.getWaitingTasks(0, () => false)];
	let confirmStored: (isStored: boolean) => void = () => undefined;
	const monitor = new CrashMonitor({
		clock: new ManualClock(),
		tracker: {markLost: () => undefined} as unknown as RunTracker,
		getTask: ({index}) => tasks[index],
		store: async crashes => crashes.length === 0 || new Promise(resolve => {
			confirmStored = resolve;
		}),
		onLikelyCause: () => undefined,
		onCrashLimit: () => undefined,
		note: () => undefined,
	});
	const worker = createWorker('host');
	const settle = async () => new Promise(resolve => {
		setImmediate(resolve);
	});
	monitor.handleReply(worker, createReply('host-1'), 1000);
	tasks[1]!.isDone = true;
	const later = createReply('host-2');
	later.crashed.push({...later.crashed[0]!, number: 2, taskId: `${id}.0.0.1`});
	later.crashed.shift();
	monitor.handleReply(worker, later, 2000);
	await settle();
	expect(worker.storedCrash).toBe(0);
	confirmStored(true);
	await settle();
	expect(worker.storedCrash).toBe(2);
});
