/**
Decisions of the owner without a network: order, placement, stalls, leases and the fold.
*/
import {describe, expect, it} from 'vitest';
import {WorkerLease} from '../src/agents/worker-lease.ts';
import {RunEnd, WorkflowState, type Workflow} from '../src/types/workflows.ts';
import {WorkflowFold} from '../src/workflows/fold.ts';
import {RunPhase} from '../src/workflows/live-model.ts';
import {createPolicy} from '../src/workflows/policy.ts';
import {RecordType} from '../src/workflows/records.ts';
import {chooseMoves, wantsCopy} from '../src/workflows/relocation.ts';
import {
	createWorker, createWorkflow, load, placeAll, run,
} from './site-fleet.ts';
import {createSpec, createStep, queue} from './simulated-site.ts';

describe('placement', () => {
	it('never exceeds the capacity of a worker', () => {
		const {model} = load([createWorkflow('a', createSpec([createStep({count: 20, milliCpu: 900})]))]);
		expect(placeAll(model, [createWorker('x'), createWorker('y')])).toHaveLength(8);
	});

	it('counts runs that are being stopped', () => {
		const {model} = load([createWorkflow('a', createSpec([createStep({count: 5, milliCpu: 1000})]))]);
		const worker = createWorker('x');
		const [first] = [...model.getWaitingTasks(0, () => false)];
		run(first!, worker, {phase: RunPhase.Stopping});
		expect(placeAll(model, [worker])).toHaveLength(3);
	});

	it('respects the required label and the maximum of tasks of a step on one worker', () => {
		const {model} = load([createWorkflow('a', createSpec([createStep({
			count: 4, requiredLabel: 'b', maxPerWorker: 1, milliCpu: 100,
		})]))]);
		const starts = placeAll(model, [createWorker('x'), createWorker('y', 4000, ['b', 'r1-1']), createWorker('z', 4000, ['b', 'r1-2'])]);
		expect(starts.map(({worker}) => worker.host).toSorted()).toEqual(['y', 'z']);
	});

	it('prefers the rack with the data, and uses others when it is full', () => {
		const {model} = load([createWorkflow('a', createSpec([createStep({count: 5, dataRack: 'r1-2'})]))]);
		const starts = placeAll(model, [createWorker('x'), createWorker('y', 4000, ['a', 'r1-2'])]);
		expect(starts.map(({worker}) => worker.host)).toEqual(['y', 'y', 'y', 'y', 'x']);
	});

	it('starts all members of a gang or none', () => {
		const {model} = load([createWorkflow('a', createSpec([createStep({count: 5, isGang: true})]))]);
		expect(placeAll(model, [createWorker('x')])).toHaveLength(0);
		expect(placeAll(model, [createWorker('x'), createWorker('y')])).toHaveLength(5);
	});

	it('starts a failed task on another worker', () => {
		const {model} = load([createWorkflow('a', createSpec([createStep()]))]);
		const [task] = [...model.getWaitingTasks(0, () => false)];
		task!.avoidedHosts.add('x');
		expect(placeAll(model, [createWorker('x'), createWorker('y')]).map(({worker}) => worker.host)).toEqual(['y']);
	});

	it('starts one task on a worker that is being probed', () => {
		const {model} = load([createWorkflow('a', createSpec([createStep({count: 3})]))]);
		const worker = createWorker('x');
		worker.health.isProbing = true;
		expect(placeAll(model, [worker])).toHaveLength(1);
	});

	/**
	Guards the order under overload: a job with little slack goes before one with more, and one that can no longer meet its
	objective waits for both, so that most jobs end in time.
	*/
	it('starts jobs by least slack first, and those that are too late last', () => {
		const spec = createSpec([createStep({milliCpu: 4000, estimateMs: 1000})]);
		const {model} = load([
			createWorkflow('late', spec, {receivedAtMs: -9000}), createWorkflow('easy', spec, {receivedAtMs: 0}), createWorkflow('urgent', spec, {receivedAtMs: -1200}),
		]);
		const starts = placeAll(model, [createWorker('x'), createWorker('y')]);
		expect(starts.map(({task}) => task.ref.workflowId)).toEqual(['urgent', 'easy']);
	});
});

describe('stalled runs', () => {
	const createRun = (step = {}) => {
		const {model} = load([createWorkflow('a', createSpec([createStep(step)]))]);
		const [task] = [...model.getWaitingTasks(0, () => false)];
		const worker = createWorker('x');
		worker.lastReplyAtMs = 5000;
		return {worker, task: task!, live: run(task!, worker)};
	};

	it('are moved if another worker has capacity', () => {
		const {worker} = createRun();
		expect(chooseMoves({
			policy: createPolicy(), workers: [worker], nowMs: 5000, canPlace: () => false,
		})).toHaveLength(0);
		expect(chooseMoves({
			policy: createPolicy(), workers: [worker], nowMs: 5000, canPlace: () => true,
		})).toHaveLength(1);
	});

	it('are not detected while their agent does not answer', () => {
		const {worker} = createRun();
		worker.unresponsiveSinceMs = 4000;
		expect(chooseMoves({
			policy: createPolicy(), workers: [worker], nowMs: 5000, canPlace: () => true,
		})).toHaveLength(0);
	});

	/** Drains a worker: a long-running task moves at once, and a task that can still end there stays. */
	it('and runs that a draining worker would lose are moved, while others end there', () => {
		const {worker, live} = createRun({estimateMs: 3000});
		worker.report!.isDraining = true;
		worker.report!.remainingMs = 1500;
		live.progressAtMs = 5000;
		live.orderedAtMs = 3000;
		live.percent = 80;
		expect(chooseMoves({
			policy: createPolicy(), workers: [worker], nowMs: 5000, canPlace: () => true,
		})).toHaveLength(0);
		live.percent = 30;
		expect(chooseMoves({
			policy: createPolicy(), workers: [worker], nowMs: 5000, canPlace: () => true,
		})).toHaveLength(1);
		const lasting = createRun({isLasting: true});
		lasting.worker.report!.isDraining = true;
		lasting.live.percent = 100;
		lasting.live.progressAtMs = 5000;
		expect(chooseMoves({
			policy: createPolicy(), workers: [lasting.worker], nowMs: 5000, canPlace: () => true,
		})).toHaveLength(1);
	});

	it('get a copy if the step allows it', () => {
		const {worker, task, live} = createRun({isSpeculative: true});
		expect(chooseMoves({
			policy: createPolicy(), workers: [worker], nowMs: 5000, canPlace: () => true,
		})).toHaveLength(0);
		expect(wantsCopy(task, 5000)).toBe(true);
		live.progressAtMs = 4900;
		expect(wantsCopy(task, 5000)).toBe(false);
	});
});

describe('the lease of a worker', () => {
	/**
	Guards against a process that was suspended between a proof and the call that uses it: the lease must start at the
	worker's clock before the proof.
	*/
	it('starts at the clock reading from before its proof was requested', () => {
		const lease = new WorkerLease(7000);
		lease.recordReading(100_000, 0);
		const dated = lease.estimateClockMs(400)!;
		lease.recordReading(103_500, 900);
		lease.extendByProof(dated);
		expect(lease.leaseUntilMs).toBe(107_400);
	});

	it('does not grow while the worker does not reply, so that it expires', () => {
		const lease = new WorkerLease(7000);
		lease.recordReading(100_000, 0);
		lease.extendByProof(100_000);
		lease.recordSent(lease.getRenewalUntilMs({isAnswering: true, nowMs: 0, maxLeaseMs: 7000}));
		lease.extendByProof(103_000);
		lease.recordSent(lease.getRenewalUntilMs({isAnswering: false, nowMs: 0, maxLeaseMs: 7000}));
		expect(lease.isExpired(7000, 300)).toBe(false);
		expect(lease.isExpired(7500, 300)).toBe(true);
	});

	it('allows for a worker\'s clock that is up to 2% slow', () => {
		const lease = new WorkerLease(7000);
		lease.recordReading(100_000, 0);
		lease.recordSent(107_000);
		expect(lease.isExpired(7100, 0)).toBe(false);
		expect(lease.isExpired(7150, 0)).toBe(true);
	});
});

describe('the fold', () => {
	const submit = (fold: WorkflowFold, workflow: Workflow) => {
		fold.apply({type: RecordType.Submit, workflow}, fold.offset);
	};

	const end = (fold: WorkflowFold, taskId: string, runNumber: number, how: RunEnd) => {
		fold.apply({
			type: RecordType.Ends, ends: [{
				taskId, run: runNumber, end: how, checkpoint: '',
			}],
		}, fold.offset);
	};

	it('completes a job with the last of its tasks, and counts a repeated end once', () => {
		const fold = new WorkflowFold();
		submit(fold, createWorkflow('a', createSpec([createStep({count: 2})])));
		end(fold, 'a.0.0.0', 1, RunEnd.Done);
		end(fold, 'a.0.0.0', 1, RunEnd.Done);
		expect(fold.workflows.get('a')!.state).toBe(WorkflowState.Running);
		end(fold, 'a.0.0.1', 1, RunEnd.Done);
		expect(fold.workflows.get('a')!.state).toBe(WorkflowState.Completed);
	});

	it('counts a repeated failure once', () => {
		const fold = new WorkflowFold();
		submit(fold, createWorkflow('a', createSpec([createStep()])));
		end(fold, 'a.0.0.0', 1, RunEnd.Failed);
		end(fold, 'a.0.0.0', 1, RunEnd.Failed);
		expect(fold.workflows.get('a')!.state).toBe(WorkflowState.Running);
		end(fold, 'a.0.0.0', 2, RunEnd.Failed);
		expect(fold.workflows.get('a')!.state).toBe(WorkflowState.Failed);
	});

	it('applies one end of a gang to all of its members', () => {
		const fold = new WorkflowFold();
		submit(fold, createWorkflow('a', createSpec([createStep({count: 3, isGang: true})])));
		end(fold, 'a.0.0.2', 1, RunEnd.Done);
		expect(fold.workflows.get('a')!.state).toBe(WorkflowState.Completed);
	});

	it('leaves a cancelled job cancelled, and a long-running one running', () => {
		const fold = new WorkflowFold();
		submit(fold, createWorkflow('a', createSpec([createStep()])));
		submit(fold, createWorkflow('b', createSpec([createStep({isLasting: true})])));
		fold.apply({type: RecordType.Cancel, id: 'a'}, fold.offset);
		end(fold, 'a.0.0.0', 1, RunEnd.Done);
		end(fold, 'b.0.0.0', 1, RunEnd.Done);
		expect([...fold.workflows.values()].map(({state}) => state)).toEqual([WorkflowState.Cancelled, WorkflowState.Running]);
	});

	/**
	Guards against a cancelled job that runs on. An entry reads from the oldest record that the store still has: the job's first
	record is gone, and its cancellation comes before the snapshot that the owner wrote without having read the cancellation.
	*/
	it('restores a job from its snapshot, and applies the records before it', () => {
		const fold = new WorkflowFold();
		const workflow = createWorkflow('a', createSpec([createStep({count: 2})]));
		fold.apply({type: RecordType.Cancel, id: 'a'}, 7);
		fold.apply({
			type: RecordType.Snapshot, job: {
				workflow, state: WorkflowState.Running, hasBegun: true, remaining: 1, ledgers: [], writtenAtMs: 0,
			},
		}, 8);
		expect(fold.workflows.get('a')!.state).toBe(WorkflowState.Cancelled);
		expect(fold.offset).toBe(9);
	});

	it('counts jobs that have not started', () => {
		const fold = new WorkflowFold();
		submit(fold, createWorkflow('a', createSpec([createStep()])));
		submit(fold, createWorkflow('b', createSpec([createStep()])));
		fold.apply({type: RecordType.Started, ids: ['b']}, fold.offset);
		expect(fold.countPending(queue.name)).toBe(1);
	});
});
