/**
Moves runs out of failure domains that operators evacuate, and keeps track of tasks that are on their way.
*/
import {type Clock} from '../types/clock.ts';
import {Feature, type Features} from '../core/site-features.ts';
import {type Evacuations} from '../types/site.ts';
import {DutyCycle} from '../utils/duty-cycle.ts';
import {addCounts} from '../utils/group-by.ts';
import {orderValidityMs, type AgentLinks} from './agent-links.ts';
import {type BestEffortInterference} from './best-effort-interference.ts';
import {StopCause, type DisruptionBudget} from './disruption-budget.ts';
import {
	chooseEvacuationMoves, createCapacitySearch, type EvacuationHold, type EvacuationHolds,
} from './evacuation-moves.ts';
import {type FleetWorker} from './fleet-view.ts';
import {RunPhase, type LiveTask} from './live-model.ts';
import {type OrderSender} from './order-sender.ts';
import {type Policy} from './policy.ts';
import {isQuarantined} from './quarantine.ts';
import {groupByService, type ServicePool, type ServicePools} from './service-pools.ts';
import {type StartEligibility} from './start-eligibility.ts';
import {type IsAllowed} from './step-placement.ts';
import {type ViewStaleness} from './view-staleness.ts';

/** Options of the mover. */
export type EvacuationMoverOptions = {
	features: Features;
	clock: Clock;
	links: AgentLinks;
	sender: OrderSender;
	eligibility: StartEligibility;
	pools: ServicePools;
	interference: BestEffortInterference;
	isAllowed: IsAllowed;
	policy: Policy;
	budget: DisruptionBudget;
	getEvacuations: () => Evacuations;
	/** Tasks that may start now. */
	getWaiting: (nowMs: number) => Iterable<LiveTask>;
	viewStaleness: Pick<ViewStaleness, 'getStartValidityMs'>;
	note: (event: string, fields: Record<string, unknown>) => void;
};

/** Limits the search to 1/20 of the thread's time. */
const restFactor = 19;
const fullPercent = 100;

/** The mover of one owner. */
export class EvacuationMover {
	readonly #options: EvacuationMoverOptions;
	readonly #dutyCycle: DutyCycle;
	/** Numbers of the runs that were stopped, of tasks that are not at work elsewhere yet. */
	readonly #moving = new Map<LiveTask, number>();
	/** Checkpoints of tasks as they were when their evacuation was first seen. */
	#checkpoints = new Map<LiveTask, string>();
	#holds: EvacuationHolds = new Map();

	constructor(options: EvacuationMoverOptions) {
		this.#options = options;
		this.#dutyCycle = new DutyCycle(options.clock, restFactor);
	}

	/** Moves runs, unless the search has to rest; to be called periodically. */
	tryMove(): void {
		const {features, getEvacuations} = this.#options;
		const {failureDomains} = getEvacuations();
		if (!features[Feature.EvacuationMoves] || failureDomains.length === 0) {
			this.#checkpoints.clear();
			this.#holds.clear();
			return;
		}

		this.#dutyCycle.tryRun(() => {
			this.#move(failureDomains);
		});
	}

	/** Counts what holds the runs in an evacuated failure domain, as of the last search. */
	describeHolds(failureDomain: string): Record<string, number> {
		return Object.fromEntries(this.#holds.get(failureDomain) ?? []);
	}

	#move(failureDomains: string[]): void {
		const {clock, links, pools, getWaiting} = this.#options;
		const nowMs = clock.monotonicMs();
		this.#forgetArrived();
		const evacuated = [...links.workers.values()].filter(({report}) => report !== undefined && failureDomains.includes(report.failureDomain));
		this.#recordCheckpoints(evacuated);
		this.#holds = new Map();
		const waiting = groupByService(getWaiting(nowMs));
		const moving = groupByService(this.#moving.keys());
		for (const pool of pools.getAll()) {
			const workers = evacuated.filter(({service}) => service === pool.service);
			if (workers.length > 0) {
				this.#moveWithin(pool, {workers, waiting: waiting.get(pool.service) ?? [], moving: moving.get(pool.service) ?? []}, nowMs);
			}
		}
	}

	/** Moves runs of one service: tasks of another that find no capacity do not hold them up. */
	#moveWithin(pool: ServicePool, {workers, waiting, moving}: {workers: FleetWorker[]; waiting: LiveTask[]; moving: LiveTask[]}, nowMs: number): void {
		const {sender, budget, note} = this.#options;
		const canStartAny = this.#canStartAny();
		const {moves, holds} = chooseEvacuationMoves({
			workers,
			nowMs,
			moving,
			mayStart: task => canStartAny && !isQuarantined(task) && this.#options.eligibility.mayStart(task),
			hasNewCheckpoint: task => task.checkpoint.value !== this.#checkpoints.get(task),
			reserveCapacity: createCapacitySearch({
				...this.#options, workers: pool.getOpen(nowMs), waiting: new Set([...waiting, ...moving]),
			}),
			mayStop: task => budget.mayStop(task, nowMs, StopCause.Evacuation),
			recordStop(task) {
				budget.recordStop(task);
			},
		});
		for (const [domain, counts] of holds) {
			const totals = this.#holds.get(domain) ?? new Map<EvacuationHold, number>();
			this.#holds.set(domain, totals);
			addCounts(totals, counts);
		}

		for (const {worker, run} of moves) {
			const {task} = run;
			note('run evacuated', {
				taskId: task.taskId, run: run.run, host: worker.host, failureDomain: worker.report!.failureDomain, percent: run.percent, maxAway: task.step.spec.maxAway, moving: this.#moving.size + 1,
			});
			this.#moving.set(task, run.run);
			sender.stop(worker, [run]);
		}
	}

	/** Whether a task that is stopped now can start as soon as it has ended: the view of the jobs is recent enough for a start of full validity. */
	#canStartAny(): boolean {
		const {eligibility, viewStaleness} = this.#options;
		return eligibility.isReconciled && eligibility.mayStartAny() && viewStaleness.getStartValidityMs() >= orderValidityMs;
	}

	/** Forgets tasks that are at work elsewhere, or need no run any more. */
	#forgetArrived(): void {
		for (const [task, stoppedRun] of this.#moving) {
			const {step: {spec, workflow}, isDone, runs} = task;
			const hasArrived = runs.some(({run, phase, percent}) => run > stoppedRun && phase === RunPhase.Running && (!spec.isLasting || percent === fullPercent));
			if (isDone || workflow.isFinished || hasArrived) {
				this.#moving.delete(task);
			}
		}
	}

	/** Keeps the checkpoint that each task had when it was first seen in an evacuated failure domain. */
	#recordCheckpoints(workers: FleetWorker[]): void {
		const checkpoints = new Map<LiveTask, string>();
		for (const {task} of workers.flatMap(worker => [...worker.runs])) {
			if (task.step.spec.isCheckpointing) {
				checkpoints.set(task, this.#checkpoints.get(task) ?? task.checkpoint.value);
			}
		}

		this.#checkpoints = checkpoints;
	}
}
