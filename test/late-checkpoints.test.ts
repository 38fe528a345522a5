/**
Checkpoints of earlier runs that become known after a later run has reported its own, as from a host that was cut off for a while.
*/
import {expect, it} from 'vitest';
import {RunEnd, type EndedRun} from '../src/types/workflows.ts';
import {type WatchReply} from '../src/types/fleet.ts';
import {type FleetWorker} from '../src/workflows/fleet-view.ts';
import {type LiveTask} from '../src/workflows/live-model.ts';
import {LossReason, RunTracker} from '../src/workflows/run-tracker.ts';
import {createWorker, createWorkflow, load} from './site-fleet.ts';
import {createSpec, createStep} from './simulated-site.ts';
import {jobId} from './site-setup.ts';

const taskId = `${jobId}.0.0.0`;
const ignore = () => undefined;

const createState = ({agentLife, report, session}: FleetWorker, state: Partial<WatchReply>): WatchReply => ({
	agentLife, session, version: 5, agentClockMs: 900, worker: report, workerClockMs: 900, leaseUntilMs: 0, isListed: true, isAnswering: true, isOver: false, running: [], ended: [], starting: [], crashed: [], goneWorkerIds: [], ...state,
});

/** A task whose first run was lost with its agent, and whose second one runs on another worker with the given checkpoint. */
const createSecondRun = (checkpoint: string): {tracker: RunTracker; lost: FleetWorker; current: FleetWorker; task: LiveTask; stored: EndedRun[]} => {
	const {model} = load([createWorkflow(jobId, createSpec([createStep({isCheckpointing: true})]))]);
	const [lost, current] = [createWorker('host-0'), createWorker('host-1')];
	const stored: EndedRun[] = [];
	const tracker = new RunTracker(model, {
		async storeEnds(ends) {
			stored.push(...ends);
			return true;
		}, onStarted: ignore, findFinishedTask: ignore, onUnknownRun: ignore, onProgress: ignore, onOutcome: ignore, onAttemptsExhausted: ignore, onChange: ignore, note: ignore,
	});
	const [task] = [...model.getWaitingTasks(0, () => false)];
	tracker.confirm(tracker.addRun(task!, lost, 1, {nowMs: 100, notAfterMs: 1000}), 1, 200);
	tracker.markAllLost(lost, LossReason.AgentLost, {nowMs: 300, evidence: {}});
	tracker.confirm(tracker.addRun(task!, current, 2, {nowMs: 400, notAfterMs: 1000}), 1, 500);
	tracker.applyReply(current, createState(current, {
		running: [{
			taskId, run: 2, checkpoint, percent: 50, recent: 0,
		}],
	}), 600);
	return {
		tracker, lost, current, task: task!, stored,
	};
};

const lapsed = {
	number: 1, taskId, run: 1, end: RunEnd.LeaseExpired, checkpoint: 'first',
};

/** Guards against work that is done again: a task resumes from the checkpoint of a run before its last one. */
it('the end of an earlier run does not replace the checkpoint of a later one, nor is it stored', () => {
	const {tracker, lost, task, stored} = createSecondRun('second');
	tracker.applyReply(lost, createState(lost, {ended: [lapsed]}), 700);
	expect(task.checkpoint.value).toBe('second');
	expect(stored).toEqual([]);
});

/** Guards against the same by a run that is still listed, and is to be stopped. */
it('an earlier run that is listed again does not replace the checkpoint of a later one', () => {
	const {tracker, lost, task} = createSecondRun('second');
	tracker.applyReply(lost, createState(lost, {
		running: [{
			taskId, run: 1, checkpoint: 'first', percent: 20, recent: 0,
		}],
	}), 700);
	expect(task.checkpoint.value).toBe('second');
});

/** Guards against work that is lost because a later run has begun but reported no checkpoint yet. */
it('the checkpoint of an earlier run is taken while a later one has none', () => {
	const {tracker, lost, task, stored} = createSecondRun('');
	tracker.applyReply(lost, createState(lost, {ended: [lapsed]}), 700);
	expect(task.checkpoint.value).toBe('first');
	expect(stored).toHaveLength(1);
});

/** Guards against a run whose last checkpoint is ignored. */
it('checkpoints of one run replace each other', () => {
	const {tracker, current, task} = createSecondRun('second');
	tracker.applyReply(current, createState(current, {ended: [{...lapsed, run: 2, checkpoint: 'third'}]}), 700);
	expect(task.checkpoint.value).toBe('third');
});
