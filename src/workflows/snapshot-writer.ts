/**
Chooses the jobs to write snapshots of: the store retains records for some minutes, and jobs run for hours.
*/
import {type Clock} from '../types/clock.ts';
import {type WorkflowFold} from './fold.ts';
import {isFinal, type FoldedWorkflow} from './folded-workflow.ts';
import {RecordType, type WorkflowRecord, type WorkflowSnapshot} from './records.ts';

/** A snapshot is due after this share of the store's retention, which leaves time for two retries. */
const snapshotShare = 1 / 3;
/** Maximum of snapshots at a time, so that ends of runs do not wait behind them. */
const maxSnapshots = 20;

/** Creates the due snapshots. A finished job gets one last snapshot. */
export const getDueSnapshots = (fold: WorkflowFold, clock: Clock, retentionMs: number): WorkflowRecord[] => {
	const wallMs = clock.now().getTime();
	const records: WorkflowRecord[] = [];
	for (const folded of fold.workflows.values()) {
		if (records.length >= maxSnapshots) {
			break;
		}

		if (!folded.hasFinalSnapshot && wallMs - folded.writtenAtMs > retentionMs * snapshotShare) {
			records.push({type: RecordType.Snapshot, job: createSnapshot(folded, wallMs)});
			// Not due again until this record is read back; if it is lost, it is due again after another `snapshotShare`.
			folded.writtenAtMs = wallMs;
		}
	}

	return records;
};

/** Creates a snapshot of a job, as of the wall clock time. */
export const createSnapshot = ({workflow, state, hasBegun, remaining, ledgers, isTransferred}: FoldedWorkflow, writtenAtMs: number): WorkflowSnapshot => ({
	workflow, state, hasBegun, remaining, ledgers: [...ledgers], writtenAtMs, ...(isTransferred && {isTransferred}),
});

/** Drops finished jobs from the fold whose last snapshot is older than the retention. */
export const dropExpired = (fold: WorkflowFold, clock: Clock, retentionMs: number): void => {
	const wallMs = clock.now().getTime();
	for (const [id, {state, hasFinalSnapshot, writtenAtMs}] of fold.workflows) {
		if (isFinal(state) && hasFinalSnapshot && wallMs - writtenAtMs > retentionMs) {
			fold.workflows.delete(id);
		}
	}
};
