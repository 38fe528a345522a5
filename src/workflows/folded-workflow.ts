/**
State of one job, as the fold of its partition's stream derives it.
*/
import {
	WorkflowState, type TaskRef, type Workflow, type WorkflowStep,
} from '../types/workflows.ts';
import {type TaskLedger} from './records.ts';
import {countUnits} from './unit-ledgers.ts';

/** State of one job. */
export type FoldedWorkflow = {
	workflow: Workflow;
	/** Offset of the record that the job was added with. */
	offset: number;
	hasBegun: boolean;
	state: WorkflowState;
	/** By the id of the unit: a task, or a gang. */
	ledgers: Map<string, TaskLedger>;
	/** Number of units that have not succeeded; undefined: the job has long-running tasks and never completes by itself. */
	remaining: number | undefined;
	/** Wall clock time of the job's newest snapshot, or of its submission. */
	writtenAtMs: number;
	/** Whether that snapshot holds the job's final state. */
	hasFinalSnapshot: boolean;
	/** Whether the job is in the stream of its own service as well, whose owner runs it. */
	isTransferred: boolean;
};

/** Id of the unit that succeeds or fails as one: a task, or a gang under the id of its first task. */
export const getUnitId = ({workflowId, occurrence, step, index}: TaskRef, {isGang}: WorkflowStep): string =>
	`${workflowId}.${occurrence}.${step}.${isGang ? 0 : index}`;

/** Number of times that the steps of a job run. */
export const countOccurrences = ({repeatCount}: Workflow): number => Math.max(1, repeatCount);

/** Whether the state never changes again. */
export const isFinal = (state: WorkflowState): boolean =>
	state === WorkflowState.Completed || state === WorkflowState.Failed || state === WorkflowState.Cancelled;

/** Creates the state of a job that was submitted by the record at the offset. */
export const createFolded = (workflow: Workflow, offset: number): FoldedWorkflow => ({
	workflow, offset, hasBegun: false, state: WorkflowState.Queued, ledgers: new Map(), remaining: countUnits(workflow, countOccurrences(workflow)), writtenAtMs: workflow.receivedAtMs, hasFinalSnapshot: false, isTransferred: false,
});
