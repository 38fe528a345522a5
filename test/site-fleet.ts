/**
Jobs, workers and runs for tests of decisions that need no network.
*/
import {type WatchReply} from '../src/types/fleet.ts';
import {type Workflow, type WorkflowSpec} from '../src/types/workflows.ts';
import {BestEffortInterference} from '../src/workflows/best-effort-interference.ts';
import {createFleetWorker, type FleetWorker} from '../src/workflows/fleet-view.ts';
import {WorkflowFold} from '../src/workflows/fold.ts';
import {
	LiveModel, RunPhase, type LiveRun, type LiveTask,
} from '../src/workflows/live-model.ts';
import {place, type Start} from '../src/workflows/placement.ts';
import {createPolicy} from '../src/workflows/policy.ts';
import {RecordType} from '../src/workflows/records.ts';
import {RunTimes} from '../src/workflows/run-times.ts';
import {RunTracker} from '../src/workflows/run-tracker.ts';
import {createRank, getRemainingWork} from '../src/workflows/task-order.ts';
import {queue} from './simulated-site.ts';

export const createWorkflow = (id: string, spec: WorkflowSpec, terms: Partial<Workflow> = {}): Workflow => ({
	...spec, id, queue: queue.name, service: queue.service, priority: 0, maxAttempts: 2, stretch: 2, targetLatencyMs: 500, needsAdvice: false, receivedAtMs: 0, ...terms,
});

export const createWorker = (host: string, milliCpu = 4000, labels = ['a', 'r1-1']): FleetWorker => ({
	...createFleetWorker({
		host, service: queue.service, address: host, session: 1, firstSession: 1, nowMs: 0,
	}),
	agentLife: 'life',
	version: 1,
	report: {
		workerId: `${host}-1`, service: queue.service, failureDomain: 'hall', isDraining: false, milliCpu, memoryMb: 64_000, accelerators: 0, labels, sequence: 1,
	},
	isListed: true,
	isAnswering: true,
	lastReplyAtMs: 0,
	stateAsOfMs: 0,
	unresponsiveSinceMs: undefined,
	unknownRunStopAtMs: 0,
});

/** A state of an agent whose worker has not announced itself. */
export const createWatchReply = (fields: Partial<WatchReply> = {}): WatchReply => ({
	agentLife: 'life', session: 1, version: 1, agentClockMs: 1, worker: undefined, workerClockMs: 1, leaseUntilMs: 1, isListed: true, isAnswering: true, isOver: false, running: [], ended: [], starting: [], crashed: [], goneWorkerIds: [], ...fields,
});

export const load = (workflows: Workflow[]): {model: LiveModel; fold: WorkflowFold} => {
	const fold = new WorkflowFold();
	for (const [offset, workflow] of workflows.entries()) {
		fold.apply({type: RecordType.Submit, workflow}, offset);
	}

	const model = new LiveModel();
	model.load(fold, 0, 0);
	return {model, fold};
};

const ignore = () => undefined;

/** Creates a tracker of the runs of the model's tasks, whose owner does nothing. */
export const createTracker = (model: LiveModel): RunTracker => new RunTracker(model, {
	storeEnds: async () => true, onStarted: ignore, findFinishedTask: ignore, onUnknownRun: ignore, onProgress: ignore, onOutcome: ignore, onAttemptsExhausted: ignore, onChange: ignore, note: ignore,
});

export const placeAll = (model: LiveModel, workers: FleetWorker[], {wallMs = 0, nowMs = 0, nextStartDelayMs = 50, harm: interference = new BestEffortInterference(), times = new RunTimes(), policy = createPolicy()} = {}): Start[] => place({
	waiting: model.getWaitingTasks(0, () => false),
	workers,
	nowMs,
	nextStartDelayMs,
	interference,
	isAllowed: () => true,
	policy,
	getTaskMs: step => times.getTaskMs(step),
	createRank: spareMilliCpu => createRank({
		nowMs, wallMs, spareMilliCpu, times, policy, remainingWork: new Map(model.getOpenOccurrences().map(steps => [steps, getRemainingWork(steps, times)])),
	}),
}).starts;

export const run = (task: LiveTask, worker: FleetWorker, fields: Partial<LiveRun> = {}): LiveRun => {
	const live: LiveRun = {
		task, run: 1, host: worker.host, workerId: worker.report!.workerId, agentLife: 'life', phase: RunPhase.Running, orderedAtMs: 0, isOrderPending: false, notAfterMs: 0, confirmedVersion: 1, percent: 0, basePercent: 0, workedMs: 0, workedUntilMs: 0, recent: 0, progressAtMs: 0, stopOrderedAtMs: 0, isUnwanted: false, throttlePercent: 100, ...fields,
	};
	task.runs.push(live);
	worker.runs.add(live);
	return live;
};
