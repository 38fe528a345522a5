/**
Ledgers of a job's units: tasks, or gangs.
*/
import {type Workflow} from '../types/workflows.ts';
import {type TaskLedger} from './records.ts';

/** Counts the units of a job whose steps run that many times; undefined: it has long-running tasks and never completes by itself. */
export const countUnits = ({steps}: Workflow, occurrences: number): number | undefined => {
	if (steps.some(step => step.isLasting)) {
		return undefined;
	}

	let units = 0;
	for (const {count, isGang} of steps) {
		units += isGang ? Math.min(1, count) : count;
	}

	return units * occurrences;
};

/** Gets the ledger of a unit; adds one if there is none. */
export const getLedger = (ledgers: Map<string, TaskLedger>, unitId: string): TaskLedger => {
	const ledger = ledgers.get(unitId) ?? {
		isDone: false, failedRuns: [], crashes: [], lastRun: 0, checkpoint: '',
	};
	ledgers.set(unitId, ledger);
	return ledger;
};
