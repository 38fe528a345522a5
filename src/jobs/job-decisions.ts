/**
Executes the decisions of the placement engine.
*/
import {getMessage} from '../core/errors.ts';
import {type Clock} from '../types/clock.ts';
import {Metric, type Metrics} from '../types/metrics.ts';
import {DecisionType, type Decision, type PlacementEngine} from '../types/placement.ts';
import {createLogger, LogNamespace} from '../utils/logger.ts';
import {type LeaseManager} from './lease-manager.ts';
import {type ShardOwner} from './shard-owner.ts';
import {type LiveTask} from './shard-task.ts';

const log = createLogger(LogNamespace.Placement);

/** Options of `JobDecisions`. */
export type JobDecisionsOptions = {
	clock: Clock;
	metrics: Metrics;
	engine: PlacementEngine;
	maxDecisions: number;
	getTask(taskId: string): LiveTask | undefined;
	getOwner(shard: number): ShardOwner | undefined;
	/** Shard of a job; undefined for an unknown job. */
	getShard(jobId: string): number | undefined;
	getLeaseManager(workerId: string): LeaseManager | undefined;
};

/** Executes placement decisions for the shards owned by this entry. */
export class JobDecisions {
	readonly #options: JobDecisionsOptions;
	/** Jobs that the engine found unplaceable. They are offered again, since the capacity that other entries use varies. */
	readonly #unplaceable = new Set<string>();

	constructor(options: JobDecisionsOptions) {
		this.#options = options;
	}

	/** Runs one scheduling cycle. */
	decide(): void {
		const {clock, engine, maxDecisions} = this.#options;
		for (const decision of engine.decide(clock.monotonicMs(), maxDecisions)) {
			this.#execute(decision);
		}
	}

	/** Offers unplaceable jobs to the engine again. */
	reconsider(): void {
		for (const jobId of this.#unplaceable) {
			const shard = this.#options.getShard(jobId);
			this.#unplaceable.delete(jobId);
			if (shard !== undefined) {
				this.#options.getOwner(shard)?.offerAgain(jobId);
			}
		}
	}

	#execute(decision: Decision): void {
		if (decision.type === DecisionType.Unplaceable) {
			this.#handleUnplaceable(decision);
			return;
		}

		const task = this.#options.getTask(decision.taskId);
		const owner = task && this.#options.getOwner(task.job.shard);
		if (!task || !owner) {
			this.#options.engine.cancel(decision.taskId);
			this.#options.engine.recordEnded(decision.taskId, true, this.#options.clock.monotonicMs());
			return;
		}

		switch (decision.type) {
			case DecisionType.Start: {
				void owner.runner.start(task, decision.workerId, decision.resources);
				break;
			}

			case DecisionType.Evict: {
				void owner.runner.evict(task, decision.reason);
				break;
			}

			case DecisionType.Throttle: {
				void this.#options.getLeaseManager(decision.workerId)?.throttle(task, decision.share).catch((error: unknown) => {
					log('Cannot throttle task %s: %s', task.taskId, getMessage(error));
				});
			}
		}
	}

	#handleUnplaceable({jobId, missing, isFinal}: Decision & {type: DecisionType.Unplaceable}): void {
		this.#options.metrics.count(Metric.JobsRefused, isFinal ? 'fails-everywhere' : 'unplaceable');
		log('Job %s fits on no worker now: %s', jobId, missing);
		const shard = this.#options.getShard(jobId);
		if (isFinal && shard !== undefined) {
			this.#options.getOwner(shard)?.fail(jobId, missing);
		} else {
			this.#unplaceable.add(jobId);
		}
	}
}
