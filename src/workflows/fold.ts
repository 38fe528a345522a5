/**
What the jobs stream says: each job with its ends. Every entry folds the same records in the same order, so each gives
the same answer.
*/
import {
	parseTaskId, RunEnd, WorkflowState, type EndedRun, type TaskRef, type Workflow, type WorkflowStep,
} from '../types/workflows.ts';
import {addCrash, isGivenUp} from './crash-blame.ts';
import {
	RecordType, type CrashedTask, type HarmPair, type SavedRun, type TaskLedger, type WholeWorkflow, type WorkflowRecord,
} from './records.ts';

/** A job as folded. */
export type FoldedWorkflow = {
	workflow: Workflow;
	/** Offset of its acceptance. */
	offset: number;
	hasBegun: boolean;
	state: WorkflowState;
	/** By unit: a task, or a gang. */
	ledgers: Map<string, TaskLedger>;
	/** Units that still have to succeed; undefined: it never completes by itself. */
	remaining: number | undefined;
	/** Wall clock at which the newest record of the whole job was written. */
	writtenAtMs: number;
	/** Whether that record has its last state. */
	isLastWritten: boolean;
};

/** What a fold tells its owner while it runs. */
export type FoldListener = {
	onSubmit: (folded: FoldedWorkflow) => void;
	/** The job is over: completed, failed or cancelled. */
	onFinal: (folded: FoldedWorkflow) => void;
	onClaim: (epoch: number) => void;
};

/** Name of the unit that succeeds or fails as one: the gang's first task stands for all. */
export const getUnitId = ({workflowId, occurrence, step, index}: TaskRef, {isGang}: WorkflowStep): string =>
	`${workflowId}.${occurrence}.${step}.${isGang ? 0 : index}`;

/** How often the steps of a job run. */
export const countOccurrences = ({repeatCount}: Workflow): number => Math.max(1, repeatCount);

const countUnits = (workflow: Workflow): number | undefined => {
	if (workflow.steps.some(step => step.isLasting)) {
		return undefined;
	}

	let units = 0;
	for (const {count, isGang} of workflow.steps) {
		units += isGang ? Math.min(1, count) : count;
	}

	return units * countOccurrences(workflow);
};

/** Whether the state never changes again. */
export const isFinal = (state: WorkflowState): boolean =>
	state === WorkflowState.Completed || state === WorkflowState.Failed || state === WorkflowState.Cancelled;

const getLedger = ({ledgers}: FoldedWorkflow, unitId: string): TaskLedger => {
	const ledger = ledgers.get(unitId) ?? {
		isDone: false, failedRuns: [], crashes: [], lastRun: 0, checkpoint: '',
	};
	ledgers.set(unitId, ledger);
	return ledger;
};

/** Folded state of one partition. */
export class WorkflowFold {
	readonly workflows = new Map<string, FoldedWorkflow>();
	listener: FoldListener | undefined;
	/** What the newest owner wrote of images that harm each other. */
	harm: HarmPair[] = [];
	/** Newest claim. */
	epoch = 0;
	/** Offset of the next record. */
	offset = 0;
	/**
	Records of jobs that are not known: their first record is gone from the store, and the whole job comes later. Without
	them, a cancellation between the two would be missed by whoever starts to read there.
	*/
	readonly #early = new Map<string, WorkflowRecord[]>();

	/** Applies the record at the offset. */
	apply(record: WorkflowRecord, offset: number): void {
		this.offset = offset + 1;
		switch (record.type) {
			case RecordType.Claim: {
				this.epoch = Math.max(this.epoch, record.epoch);
				this.listener?.onClaim(record.epoch);
				break;
			}

			case RecordType.Submit: {
				this.#submit(record.workflow, offset);
				break;
			}

			case RecordType.Whole: {
				this.#takeWhole(record.job, offset);
				break;
			}

			case RecordType.Cancel: {
				const folded = this.workflows.get(record.id);
				if (folded) {
					this.#finish(folded, WorkflowState.Cancelled);
				} else {
					this.#keepEarly(record.id, record);
				}

				break;
			}

			case RecordType.Ends: {
				for (const end of record.ends) {
					this.#end(end);
				}

				break;
			}

			case RecordType.Crashes: {
				for (const crash of record.crashes) {
					this.#crash(crash);
				}

				break;
			}

			case RecordType.Saved: {
				for (const saved of record.runs) {
					this.#save(saved);
				}

				break;
			}

			case RecordType.Harm: {
				this.harm = record.pairs;
				break;
			}

			case RecordType.Begun: {
				for (const id of record.ids) {
					this.#begin(this.workflows.get(id));
				}

				break;
			}
		}
	}

	/** Jobs of a queue that have not begun. */
	countPending(queue: string): number {
		let count = 0;
		for (const {workflow, state} of this.workflows.values()) {
			if (workflow.queue === queue && state === WorkflowState.Queued) {
				count++;
			}
		}

		return count;
	}

	/** The first record of an id counts; the same job handed in again is one. */
	#submit(workflow: Workflow, offset: number): void {
		if (this.workflows.has(workflow.id)) {
			return;
		}

		const folded: FoldedWorkflow = {
			workflow, offset, hasBegun: false, state: WorkflowState.Queued, ledgers: new Map(), remaining: countUnits(workflow), writtenAtMs: workflow.receivedAtMs, isLastWritten: false,
		};
		this.workflows.set(workflow.id, folded);
		this.listener?.onSubmit(folded);
		if (folded.remaining === 0) {
			this.#finish(folded, WorkflowState.Completed);
		}
	}

	/** Takes a job of which no earlier record is kept; for one that is known it only tells that it was written again. */
	#takeWhole({workflow, state, hasBegun, remaining, ledgers, writtenAtMs}: WholeWorkflow, offset: number): void {
		const known = this.workflows.get(workflow.id);
		if (known) {
			known.writtenAtMs = writtenAtMs;
			known.isLastWritten = isFinal(state);
			return;
		}

		const folded: FoldedWorkflow = {
			workflow, offset, state, hasBegun, remaining, ledgers: new Map(ledgers), writtenAtMs, isLastWritten: isFinal(state),
		};
		this.workflows.set(workflow.id, folded);
		const nextOffset = this.offset;
		for (const record of this.#early.get(workflow.id) ?? []) {
			this.apply(record, offset);
		}

		this.offset = nextOffset;
		this.#early.delete(workflow.id);
		if (!isFinal(folded.state)) {
			this.listener?.onSubmit(folded);
		}
	}

	#keepEarly(id: string, record: WorkflowRecord): void {
		const records = this.#early.get(id) ?? [];
		records.push(record);
		this.#early.set(id, records);
	}

	#begin(folded: FoldedWorkflow | undefined): void {
		if (folded && !folded.hasBegun) {
			folded.hasBegun = true;
			if (folded.state === WorkflowState.Queued) {
				folded.state = WorkflowState.Running;
			}
		}
	}

	#end({taskId, run, end, checkpoint}: EndedRun): void {
		const ref = parseTaskId(taskId);
		const folded = ref && this.workflows.get(ref.workflowId);
		const step = folded?.workflow.steps[ref!.step];
		if (ref && !folded) {
			this.#keepEarly(ref.workflowId, {
				type: RecordType.Ends, ends: [{
					taskId, run, end, checkpoint,
				}],
			});
		}

		if (!ref || !folded || !step) {
			return;
		}

		this.#begin(folded);
		const ledger = getLedger(folded, getUnitId(ref, step));
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

	#crash({taskId, ...crash}: CrashedTask): void {
		const ref = parseTaskId(taskId);
		const folded = ref && this.workflows.get(ref.workflowId);
		const step = folded?.workflow.steps[ref!.step];
		if (ref && !folded) {
			this.#keepEarly(ref.workflowId, {type: RecordType.Crashes, crashes: [{taskId, ...crash}]});
		}

		if (!ref || !folded || !step) {
			return;
		}

		this.#begin(folded);
		const ledger = getLedger(folded, getUnitId(ref, step));
		ledger.lastRun = Math.max(ledger.lastRun, crash.run);
		if (ledger.isDone || isFinal(folded.state) || ledger.crashes.some(({run}) => run === crash.run)) {
			return;
		}

		ledger.crashes = addCrash(ledger.crashes, crash);
		if (isGivenUp(ledger.crashes)) {
			this.#finish(folded, WorkflowState.Failed);
		}
	}

	/** What is known of a run that goes on, for an owner that finds its worker gone. */
	#save({taskId, run, checkpoint}: SavedRun): void {
		const ref = parseTaskId(taskId);
		const folded = ref && this.workflows.get(ref.workflowId);
		const step = folded?.workflow.steps[ref!.step];
		if (!ref || !folded || !step || isFinal(folded.state)) {
			return;
		}

		const ledger = getLedger(folded, getUnitId(ref, step));
		ledger.lastRun = Math.max(ledger.lastRun, run);
		ledger.checkpoint = checkpoint;
	}

	#finish(folded: FoldedWorkflow, state: WorkflowState): void {
		if (isFinal(folded.state)) {
			return;
		}

		folded.state = state;
		this.listener?.onFinal(folded);
	}
}
