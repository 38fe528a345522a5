/**
Decides which tasks an owner may start now, and so which runs it may stop in order to start their tasks elsewhere.

Starts are not stored, so a task from before the claim may have a run that an earlier owner started on an agent which has not listed its
runs yet. A task of which a run was listed after the claim has no other: an earlier owner would have started one only after the end of that run.
*/
import {type Clock} from '../types/clock.ts';
import {getUnit, type LiveModel, type LiveTask} from './live-model.ts';
import {type Reconciliation} from './reconciliation.ts';
import {describeLongestWait} from './task-order.ts';
import {type ViewStaleness} from './view-staleness.ts';

/** Options of the eligibility. */
export type StartEligibilityOptions = {
	clock: Clock;
	model: LiveModel;
	reconciliation: Reconciliation;
	viewStaleness: ViewStaleness;
};

/** Eligibility of the tasks of one owner. */
export class StartEligibility {
	readonly #options: StartEligibilityOptions;
	#claimOffset = Number.POSITIVE_INFINITY;

	constructor(options: StartEligibilityOptions) {
		this.#options = options;
	}

	/** Records the claim: no earlier owner can have started a task of a job accepted after it. */
	recordClaim(claimOffset: number): void {
		this.#claimOffset = claimOffset;
	}

	/** Whether every agent has listed its runs, or its leases from before the claim have expired. */
	get isReconciled(): boolean {
		return this.#options.reconciliation.isReconciled;
	}

	/** Whether the view of the jobs is recent enough to start anything. */
	mayStartAny(): boolean {
		return !this.#options.viewStaleness.isTooStale();
	}

	/** Whether no run of the task can be active that this owner does not know of. */
	mayStart(task: LiveTask): boolean {
		return this.isReconciled || this.#isNew(task) || getUnit(task).every(({isLocated}) => isLocated);
	}

	/** Describes the waiting tasks that may not start before the reconciliation, for the log. */
	describeHeldTasks(): Record<string, unknown> {
		const {clock, model} = this.#options;
		const nowMs = clock.monotonicMs();
		const held = [...model.getWaitingTasks(nowMs, () => false)].filter(task => !this.mayStart(task));
		return {heldTasks: held.length, ...describeLongestWait(held, nowMs)};
	}

	#isNew({step}: LiveTask): boolean {
		return step.workflow.folded.offset >= this.#claimOffset;
	}
}
