/**
Decides which tasks an owner may start now, and so which runs it may stop in order to start their tasks elsewhere.

Starts are not stored, so a task from before the claim may have a run that an earlier owner started on an agent which has not listed its
runs yet. A task of which a run was listed after the claim has no other: an earlier owner would have started one only after the end of that run.
Once that run has ended, an earlier owner that has not read the claim may see the end too, and start the task for as long as its view of the
jobs is not too old.
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
	reconciliation: Pick<Reconciliation, 'isReconciled'>;
	viewStaleness: Pick<ViewStaleness, 'isTooStale'>;
	/** Time within which a cancelled job must have stopped: an owner starts nothing that is valid longer after the last read that showed it as the newest. */
	cancelMs: number;
};

/** Eligibility of the tasks of one owner. */
export class StartEligibility {
	readonly #options: StartEligibilityOptions;
	#claimOffset = Number.POSITIVE_INFINITY;
	#claimedAtMs = Number.POSITIVE_INFINITY;

	constructor(options: StartEligibilityOptions) {
		this.#options = options;
	}

	/** Records the claim: no earlier owner can have started a task of a job accepted after it. */
	recordClaim(claimOffset: number): void {
		this.#claimOffset = claimOffset;
		this.#claimedAtMs = this.#options.clock.monotonicMs();
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
		return this.isReconciled || this.#isNew(task) || (this.#areEarlierStartsExpired() && getUnit(task).every(({isLocated}) => isLocated));
	}

	/** Describes the waiting tasks that may not start before the reconciliation, for the log. */
	describeHeldTasks(): Record<string, unknown> {
		const {clock, model} = this.#options;
		const nowMs = clock.monotonicMs();
		const held = [...model.getWaitingTasks(nowMs, () => false)].filter(task => !this.mayStart(task));
		return {heldTasks: held.length, ...describeLongestWait(held, nowMs)};
	}

	/** Whether no start of an owner that has not read the claim can be valid any more. */
	#areEarlierStartsExpired(): boolean {
		const {clock, cancelMs} = this.#options;
		return clock.monotonicMs() - this.#claimedAtMs > cancelMs;
	}

	#isNew({step}: LiveTask): boolean {
		return step.workflow.folded.offset >= this.#claimOffset;
	}
}
