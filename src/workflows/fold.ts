/**
State of the jobs, derived by replaying (folding) the records of the jobs stream. Every entry folds the same records in the
same order, so all derive the same state.
*/
import {Cancellations, siteCancellations} from '../core/cancellations.ts';
import {
	parseTaskId, RunEnd, WorkflowState, type EndedRun, type Workflow,
} from '../types/workflows.ts';
import {AdmissionRecords} from './admission-records.ts';
import {AwaitedRecords} from './awaited-records.ts';
import {addCrash, isCrashLimitReached} from './crash-attribution.ts';
import {
	createFolded, getUnitId, isFinal, type FoldedWorkflow,
} from './folded-workflow.ts';
import {
	RecordType, type AttributedCrash, type InterferencePair, type RunCheckpoint, type TaskLedger, type WorkflowSnapshot, type WorkflowRecord,
} from './records.ts';
import {SessionRecords} from './session-records.ts';
import {getLedger} from './unit-ledgers.ts';

/** Callbacks of a fold to the owner of its partition. */
export type FoldListener = {
	onSubmit: (folded: FoldedWorkflow) => void;
	/** The job has completed, failed or been cancelled. */
	onFinished: (folded: FoldedWorkflow) => void;
	onClaim: (epoch: number) => void;
	/** The store has dropped records that were not read. */
	onGap: () => void;
};

/** Folded state of one partition. */
export class WorkflowFold {
	readonly workflows = new Map<string, FoldedWorkflow>();
	listener: FoldListener | undefined;
	/** Interference between images as the owner last stored it. */
	interferencePairs: InterferencePair[] = [];
	/** The newest owner's forecasts, and refused jobs. */
	readonly admission = new AdmissionRecords();
	readonly cancellations = new Cancellations(siteCancellations);
	/** Agents that owners have declared lost. */
	readonly losses = new SessionRecords();
	/** Agents whose departure an owner has read. */
	readonly departures = new SessionRecords();
	/** Epoch of the newest claim. */
	epoch = 0;
	/** Offset of the next record. */
	offset = 0;
	/** All records from this offset on were read. */
	knownFromOffset = 0;
	readonly #awaitingSnapshot = new AwaitedRecords();

	/**
	Starts anew at the oldest record that the store retains, because it has dropped records that were not read: jobs may have been
	cancelled or completed in them. The retained records have a submission or a snapshot of each job, so the state is complete at the end.
	*/
	restartAt(oldestOffset: number): void {
		this.workflows.clear();
		this.#awaitingSnapshot.clear();
		this.losses.forgetBefore(oldestOffset);
		this.offset = oldestOffset;
		this.knownFromOffset = oldestOffset;
		this.listener?.onGap();
	}

	/**
	Applies the record at the offset. `readAtMs`: a reading of the monotonic clock after it was read; without one, losses and departures are
	ignored. `writtenAfterMs`: one before it was written.
	*/
	apply(record: WorkflowRecord, offset: number, readAtMs?: number, writtenAfterMs = readAtMs): void {
		this.offset = offset + 1;
		switch (record.type) {
			case RecordType.Claim: {
				this.epoch = Math.max(this.epoch, record.epoch);
				this.losses.forgetBefore(record.knownFromOffset ?? offset);
				this.admission.handleClaim(this.epoch);
				this.listener?.onClaim(record.epoch);
				break;
			}

			case RecordType.Submit: {
				this.#addSubmitted(record.workflow, offset, record.asOf);
				break;
			}

			case RecordType.Refused: {
				if (!this.workflows.has(record.id)) {
					this.admission.addRefusal(record.id, offset, readAtMs);
				}

				break;
			}

			case RecordType.Forecast: {
				this.admission.applyForecast(record.forecast, this.epoch, writtenAfterMs);
				break;
			}

			case RecordType.Snapshot: {
				this.#applySnapshot(record.job, offset);
				break;
			}

			case RecordType.Cancel: {
				this.#cancel(record);
				break;
			}

			case RecordType.Cancellations: {
				for (const row of record.rows) {
					this.cancellations.add(row);
					this.#finishIfCancelled(this.workflows.get(row[0]));
				}

				break;
			}

			case RecordType.Ends: {
				for (const end of record.ends) {
					this.#applyEnd(end);
				}

				break;
			}

			case RecordType.Crashes: {
				for (const crash of record.crashes) {
					this.#applyCrash(crash);
				}

				break;
			}

			case RecordType.Checkpoints: {
				for (const run of record.runs) {
					this.#applyCheckpoint(run);
				}

				break;
			}

			case RecordType.Interference: {
				this.interferencePairs = record.pairs;
				break;
			}

			case RecordType.AgentLost:
			case RecordType.AgentDeparted: {
				if (readAtMs !== undefined) {
					const records = record.type === RecordType.AgentLost ? this.losses : this.departures;
					records.add(record.host, {session: record.session, offset, readAtMs});
				}

				break;
			}

			case RecordType.Started: {
				for (const id of record.ids) {
					this.#markStarted(this.workflows.get(id));
				}

				break;
			}

			case RecordType.Transferred: {
				for (const id of record.ids) {
					this.#markTransferred(id);
				}

				break;
			}
		}
	}

	/** Counts the jobs of a queue that have not started, by the states that `getState` gives. */
	countPending(queue: string, getState = ({state}: FoldedWorkflow): WorkflowState | undefined => state): number {
		let count = 0;
		for (const folded of this.workflows.values()) {
			if (folded.workflow.queue === queue && getState(folded) === WorkflowState.Queued) {
				count++;
			}
		}

		return count;
	}

	/** Adds a job. Only the first valid record of an id counts, so that a job that is submitted again is added once. */
	#addSubmitted(workflow: Workflow, offset: number, asOf: number | undefined): void {
		if (this.workflows.has(workflow.id) || !this.admission.acceptSubmission(workflow.id, asOf)) {
			return;
		}

		const folded = createFolded(workflow, offset);
		this.workflows.set(workflow.id, folded);
		if (this.cancellations.includes(workflow.id, workflow.receivedAtMs)) {
			folded.state = WorkflowState.Cancelled;
			return;
		}

		this.listener?.onSubmit(folded);
		if (folded.remaining === 0) {
			this.#finish(folded, WorkflowState.Completed);
		}
	}

	/** Adds a job from its snapshot if its earlier records are gone. */
	#applySnapshot(snapshot: WorkflowSnapshot, offset: number): void {
		const {workflow, state, hasBegun, remaining, ledgers, writtenAtMs, isTransferred = false} = snapshot;
		const known = this.workflows.get(workflow.id);
		if (known) {
			this.#mergeSnapshot(known, snapshot);
			return;
		}

		const folded: FoldedWorkflow = {
			workflow, offset, state, hasBegun, remaining, ledgers: new Map(ledgers), writtenAtMs, hasFinalSnapshot: isFinal(state), isTransferred,
		};
		this.workflows.set(workflow.id, folded);
		const nextOffset = this.offset;
		for (const record of this.#awaitingSnapshot.take(workflow.id)) {
			this.apply(record, offset);
		}

		this.offset = nextOffset;
		this.#finishIfCancelled(folded);
		if (!isFinal(folded.state)) {
			this.listener?.onSubmit(folded);
		}
	}

	/**
	Adds to a known job what its snapshot has in addition. The job may be known from an earlier snapshot that lacks a record which the
	store has dropped since: an owner writes snapshots of what it has read, and another entry's record may precede the snapshot.
	*/
	#mergeSnapshot(known: FoldedWorkflow, {state, hasBegun, ledgers, writtenAtMs, isTransferred = false}: WorkflowSnapshot): void {
		known.writtenAtMs = writtenAtMs;
		known.isTransferred ||= isTransferred;
		known.hasFinalSnapshot = isFinal(state);
		if (isFinal(state)) {
			this.#finish(known, state);
			return;
		}

		if (hasBegun) {
			this.#markStarted(known);
		}

		for (const [taskId, ledger] of ledgers) {
			this.#mergeLedger(taskId, ledger, known.ledgers.get(taskId));
		}
	}

	#mergeLedger(taskId: string, {isDone, failedRuns, crashes, lastRun, checkpoint}: TaskLedger, known: TaskLedger | undefined): void {
		if (lastRun > (known?.lastRun ?? 0)) {
			this.#applyCheckpoint({taskId, run: lastRun, checkpoint});
		}

		if (isDone) {
			this.#applyEnd({
				taskId, run: lastRun, end: RunEnd.Done, checkpoint: '',
			});
			return;
		}

		for (const run of failedRuns) {
			this.#applyEnd({
				taskId, run, end: RunEnd.Failed, checkpoint: '',
			});
		}

		for (const crash of crashes) {
			this.#applyCrash({taskId, ...crash});
		}
	}

	#cancel({id, cancelledAtMs}: {id: string; cancelledAtMs?: number | undefined}): void {
		if (cancelledAtMs !== undefined) {
			this.cancellations.add([id, cancelledAtMs]);
		}

		const folded = this.workflows.get(id);
		if (folded) {
			this.#finish(folded, WorkflowState.Cancelled);
		} else if (cancelledAtMs === undefined) {
			this.#awaitingSnapshot.add(id, {type: RecordType.Cancel, id});
		}
	}

	#finishIfCancelled(folded: FoldedWorkflow | undefined): void {
		if (folded && this.cancellations.includes(folded.workflow.id, folded.workflow.receivedAtMs)) {
			this.#finish(folded, WorkflowState.Cancelled);
		}
	}

	#markStarted(folded: FoldedWorkflow | undefined): void {
		if (folded && !folded.hasBegun) {
			folded.hasBegun = true;
			if (folded.state === WorkflowState.Queued) {
				folded.state = WorkflowState.Running;
			}
		}
	}

	#markTransferred(id: string): void {
		const folded = this.workflows.get(id);
		if (folded) {
			folded.isTransferred = true;
		} else {
			this.#awaitingSnapshot.add(id, {type: RecordType.Transferred, ids: [id]});
		}
	}

	#applyEnd({taskId, run, end, checkpoint}: EndedRun): void {
		const ref = parseTaskId(taskId);
		const folded = ref && this.workflows.get(ref.workflowId);
		const step = folded?.workflow.steps[ref!.step];
		if (ref && !folded) {
			this.#awaitingSnapshot.add(ref.workflowId, {
				type: RecordType.Ends, ends: [{
					taskId, run, end, checkpoint,
				}],
			});
		}

		if (!ref || !folded || !step) {
			return;
		}

		this.#markStarted(folded);
		const ledger = getLedger(folded.ledgers, getUnitId(ref, step));
		ledger.lastRun = Math.max(ledger.lastRun, run);
		if (checkpoint !== '') {
			ledger.checkpoint = checkpoint;
		}

		if (step.isLasting || ledger.isDone || isFinal(folded.state)) {
			return;
		}

		if (end === RunEnd.Done) {
			ledger.isDone = true;
			folded.remaining!--;
			if (folded.remaining === 0) {
				this.#finish(folded, WorkflowState.Completed);
			}
		} else if (end === RunEnd.Failed && !ledger.failedRuns.includes(run)) {
			ledger.failedRuns.push(run);
			if (ledger.failedRuns.length >= folded.workflow.maxAttempts) {
				this.#finish(folded, WorkflowState.Failed);
			}
		}
	}

	#applyCrash({taskId, ...crash}: AttributedCrash): void {
		const ref = parseTaskId(taskId);
		const folded = ref && this.workflows.get(ref.workflowId);
		const step = folded?.workflow.steps[ref!.step];
		if (ref && !folded) {
			this.#awaitingSnapshot.add(ref.workflowId, {type: RecordType.Crashes, crashes: [{taskId, ...crash}]});
		}

		if (!ref || !folded || !step) {
			return;
		}

		this.#markStarted(folded);
		const ledger = getLedger(folded.ledgers, getUnitId(ref, step));
		ledger.lastRun = Math.max(ledger.lastRun, crash.run);
		if (ledger.isDone || isFinal(folded.state) || ledger.crashes.some(({run}) => run === crash.run)) {
			return;
		}

		ledger.crashes = addCrash(ledger.crashes, crash);
		if (isCrashLimitReached(ledger.crashes)) {
			this.#finish(folded, WorkflowState.Failed);
		}
	}

	/** Records the checkpoint of an active run, from which an owner resumes the task if the worker is lost. */
	#applyCheckpoint({taskId, run, checkpoint}: RunCheckpoint): void {
		const ref = parseTaskId(taskId);
		const folded = ref && this.workflows.get(ref.workflowId);
		const step = folded?.workflow.steps[ref!.step];
		if (!ref || !folded || !step || isFinal(folded.state)) {
			return;
		}

		const ledger = getLedger(folded.ledgers, getUnitId(ref, step));
		ledger.lastRun = Math.max(ledger.lastRun, run);
		ledger.checkpoint = checkpoint;
	}

	#finish(folded: FoldedWorkflow, state: WorkflowState): void {
		if (isFinal(folded.state)) {
			return;
		}

		folded.state = state;
		this.listener?.onFinished(folded);
	}
}
