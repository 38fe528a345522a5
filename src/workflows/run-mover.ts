/**
Moves runs: stops those that are stalled, heavily throttled or about to be lost with a draining worker, so that their tasks start elsewhere.
*/
import {Feature} from '../core/site-features.ts';
import {DutyCycle} from '../utils/duty-cycle.ts';
import {DisruptionBudget} from './disruption-budget.ts';
import {EvacuationMover, type EvacuationMoverOptions} from './evacuation-mover.ts';
import {createPlacementCheck} from './placement.ts';
import {type Reconciliation} from './reconciliation.ts';
import {chooseMoves} from './relocation.ts';
import {type RunTimes} from './run-times.ts';

/** Options of the mover. */
export type RunMoverOptions = Omit<EvacuationMoverOptions, 'budget'> & {reconciliation: Pick<Reconciliation, 'reconciledAtMs'>; times: RunTimes};

/** Limits the search for runs to move to 1/20 of the thread's time: one search takes about as long as a scheduling cycle. */
const restFactor = 19;

/** Moves the runs of one owner. */
export class RunMover {
	/** Budgets of the owner's steps; whoever else stops runs by choice asks them too. */
	readonly budget: DisruptionBudget;
	readonly #options: RunMoverOptions;
	readonly #evacuationMover: EvacuationMover;
	readonly #dutyCycle: DutyCycle;

	constructor(options: RunMoverOptions) {
		const {features, links, reconciliation, note} = options;
		this.#options = options;
		this.budget = new DisruptionBudget({
			isEnabled: features[Feature.DisruptionBudgets], getWorker: host => links.workers.get(host), getReconciledAtMs: () => reconciliation.reconciledAtMs, note,
		});
		this.#evacuationMover = new EvacuationMover({...options, budget: this.budget});
		this.#dutyCycle = new DutyCycle(options.clock, restFactor);
	}

	/** Moves runs of tasks that the owner may start, unless the search has to rest; to be called periodically. */
	tryMove(): void {
		this.#dutyCycle.tryRun(() => {
			if (this.#options.eligibility.mayStartAny()) {
				this.#move();
			}
		});
		this.#evacuationMover.tryMove();
	}

	/** Counts what holds the runs in an evacuated failure domain. */
	describeHolds(failureDomain: string): Record<string, number> {
		return this.#evacuationMover.describeHolds(failureDomain);
	}

	#move(): void {
		const {
			clock, links, sender, eligibility, pools, interference, isAllowed, policy, times, note,
		} = this.#options;
		const nowMs = clock.monotonicMs();
		const canPlace = pools.dispatch(pool => createPlacementCheck(pool.getOpen(nowMs), {interference, isAllowed, policy}));
		const moves = chooseMoves({
			workers: links.workers.values(), nowMs, policy, times, canPlace: task => eligibility.mayStart(task) && canPlace(task), tryStop: (task, cause) => this.budget.tryStop(task, nowMs, cause),
		});
		for (const {worker, run} of moves) {
			note('run moved', {
				taskId: run.task.taskId, run: run.run, host: worker.host, percent: run.percent, pacePercent: run.throttlePercent, isReconciled: eligibility.isReconciled, maxAway: run.task.step.spec.maxAway, workerSlowness: Math.round(times.speeds.getSlowness(run.workerId, nowMs)),
			});
			sender.stop(worker, [run]);
		}
	}
}
