/**
Writes jobs again before the store lets their records go: it keeps records for some minutes, and jobs last for hours.
*/
import {type Clock} from '../types/clock.ts';
import {isFinal, type FoldedWorkflow, type WorkflowFold} from './fold.ts';
import {RecordType, type WorkflowRecord} from './records.ts';

/** A job is written again after this part of the time that the store keeps records: two more chances remain. */
const rewriteShare = 1 / 3;
/** Jobs written at a time, so that ends do not wait behind them. */
const maxAtOnce = 20;

/** Chooses the jobs that are to be written again, with their records. One that is over is written once more. */
export const getRewrites = (fold: WorkflowFold, clock: Clock, keptMs: number): WorkflowRecord[] => {
	const wallMs = clock.now().getTime();
	const records: WorkflowRecord[] = [];
	for (const folded of fold.workflows.values()) {
		if (records.length >= maxAtOnce) {
			break;
		}

		if (!folded.isLastWritten && wallMs - folded.writtenAtMs > keptMs * rewriteShare) {
			records.push({type: RecordType.Whole, job: getWhole(folded, wallMs)});
			// Not again before the record is read back; a lost one is written a third later.
			folded.writtenAtMs = wallMs;
		}
	}

	return records;
};

const getWhole = ({workflow, state, hasBegun, remaining, ledgers}: FoldedWorkflow, writtenAtMs: number) => ({
	workflow, state, hasBegun, remaining, ledgers: [...ledgers], writtenAtMs,
});

/** Forgets jobs that were over before the store's records began: nobody asks for them any more. */
export const forgetOld = (fold: WorkflowFold, clock: Clock, keptMs: number): void => {
	const wallMs = clock.now().getTime();
	for (const [id, {state, isLastWritten, writtenAtMs}] of fold.workflows) {
		if (isFinal(state) && isLastWritten && wallMs - writtenAtMs > keptMs) {
			fold.workflows.delete(id);
		}
	}
};
