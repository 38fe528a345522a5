/**
Agents that stay silent: declares them lost, waits their leases out, and lets their tasks start elsewhere.
*/
import {
	agentsTopic, controlTopic, ControlType, encodeControl,
} from '../agents/control-records.ts';
import {workerClockSlowShare} from '../agents/lease-clock.ts';
import {getMessage} from '../core/errors.ts';
import {type Clock} from '../types/clock.ts';
import {AppendOutcome, type StoreClient} from '../types/store.ts';
import {type FleetWorker} from './fleet-view.ts';
import {LossReason, type RunTracker} from './run-tracker.ts';

/** Options of the watch. */
export type LossWatchOptions = {
	store: StoreClient;
	clock: Clock;
	partition: number;
	epoch: number;
	leaseHorizonMs: number;
	workers: Map<string, FleetWorker>;
	tracker: RunTracker;
	signal: AbortSignal;
	note: (event: string, fields: Record<string, unknown>) => void;
};

/** An agent that was silent for so long is declared lost. Shorter cuts heal by themselves, and its tasks live on. */
const lostAfterMs = 4000;
/** An agent with nothing to run that was silent for so long is taken for gone: a later owner need not wait for it. */
const removedAfterMs = 8000;
/** Added to the longest lease before tasks of a lost agent start elsewhere: ways and kills take some ms. */
const lostSlackMs = 500;
const retryMs = 150;
const storeTimeoutMs = 1000;

/** Longest time that leases go on after the store took a claim or a declaration. */
export const getLeaseOverMs = (leaseHorizonMs: number): number => (leaseHorizonMs / (1 - workerClockSlowShare)) + lostSlackMs;

/** The watch. */
export class LossWatch {
	readonly #options: LossWatchOptions;

	constructor(options: LossWatchOptions) {
		this.#options = options;
	}

	/** Looks at all agents; to be called every now and then. */
	check(): void {
		const {clock, workers, leaseHorizonMs} = this.#options;
		const nowMs = clock.monotonicMs();
		for (const worker of workers.values()) {
			const {silentSinceMs, lostSession, lostAtMs, runs} = worker;
			const boundMs = runs.size > 0 ? lostAfterMs : removedAfterMs;
			if (silentSinceMs !== undefined && lostSession === undefined && nowMs - silentSinceMs >= boundMs) {
				worker.lostSession = worker.session;
				void this.#declare(worker);
			} else if (lostAtMs !== undefined && nowMs - lostAtMs > getLeaseOverMs(leaseHorizonMs)) {
				this.#takeLost(worker, nowMs);
			}
		}
	}

	/** Takes an agent back that has registered anew since it was declared lost: its leases were over before. */
	readmit(worker: FleetWorker): void {
		const {host, session, lostSession} = worker;
		if (lostSession !== undefined && session > lostSession) {
			this.#options.note('agent back', {host, session, lostSession});
			worker.lostSession = undefined;
			worker.lostAtMs = undefined;
		}
	}

	/** The leases of a lost agent are over. It may have registered anew meanwhile, without being reached yet. */
	#takeLost(worker: FleetWorker, nowMs: number): void {
		this.#options.tracker.loseAll(worker, LossReason.AgentLost, nowMs);
		if (worker.session > worker.lostSession!) {
			worker.lostSession = undefined;
			worker.lostAtMs = undefined;
		} else if (worker.silentSinceMs !== undefined) {
			this.#options.workers.delete(worker.host);
			void this.#removeRegistration(worker);
		}
	}

	/** The declaration is in the store before the leases are waited out: the agent reads it, or proves nothing more. */
	async #declare(worker: FleetWorker): Promise<void> {
		const {store, partition, epoch, clock, note, signal} = this.#options;
		const {host, session} = worker;
		note('agent lost', {host, session, runs: worker.runs.size});
		const record = encodeControl({
			type: ControlType.Lost, host, session, epoch,
		});
		while (!signal.aborted && worker.lostSession === session) {
			try {
				const result = await store.append({topic: controlTopic, partition}, [record], {timeoutMs: storeTimeoutMs});
				if (result.outcome === AppendOutcome.Appended) {
					worker.lostAtMs = clock.monotonicMs();
					return;
				}
			} catch (error) {
				note('loss not stored', {host, error: getMessage(error)});
			}

			await clock.sleep(retryMs, signal);
		}
	}

	/** Without the registration a later owner need not wait for this agent. Nothing is removed that changed meanwhile. */
	async #removeRegistration(worker: FleetWorker): Promise<void> {
		const {store, note} = this.#options;
		const ref = {topic: agentsTopic, partition: 0};
		try {
			const {records, endOffset} = await store.newest(ref);
			if (records.some(record => record.key === worker.host && record.offset === worker.session)) {
				const result = await store.appendKeyed(ref, [{key: worker.host}], {atOffset: endOffset, timeoutMs: storeTimeoutMs});
				note('registration removed', {host: worker.host, outcome: result.outcome});
			}
		} catch (error) {
			note('registration not removed', {host: worker.host, error: getMessage(error)});
		}
	}
}
