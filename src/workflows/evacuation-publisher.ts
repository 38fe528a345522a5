/**
Publishes to agents which failure domains are evacuated, on the control stream that they already follow. Agents refuse starts
in these domains, also from an owner that has not read the operators' request.
*/
import {controlTopic, ControlRecordType, encodeControlRecord} from '../agents/control-records.ts';
import {getMessage} from '../core/errors.ts';
import {type Clock} from '../types/clock.ts';
import {type Evacuations} from '../types/site.ts';
import {AppendOutcome, type StoreClient} from '../types/store.ts';
import {type FleetWorker} from './fleet-view.ts';

/** Options of the publisher. */
export type EvacuationPublisherOptions = {
	store: StoreClient;
	clock: Clock;
	partition: number;
	epoch: number;
	/** How long the store keeps records. */
	retentionMs: number;
	getEvacuations: () => Evacuations;
	/** Counts the runs in the failure domain by what holds them. */
	describeHolds: (failureDomain: string) => Record<string, number>;
	note: (event: string, fields: Record<string, unknown>) => void;
};

/** Evacuations are published again after this share of the store's retention, because an agent that starts reads only retained records. */
const repeatShare = 1 / 3;
const retryMs = 150;
const storeTimeoutMs = 1000;
const noteEveryMs = 1000;

/** The publisher of one owner. */
export class EvacuationPublisher {
	readonly #options: EvacuationPublisherOptions;
	#publishedAsOf = -1;
	#publishedAtMs = Number.NEGATIVE_INFINITY;
	#triedAtMs = Number.NEGATIVE_INFINITY;
	#notedAtMs = Number.NEGATIVE_INFINITY;
	#isSending = false;

	constructor(options: EvacuationPublisherOptions) {
		this.#options = options;
	}

	/** Publishes changes, and repeats evacuations before the store drops their record; to be called periodically. */
	update(workers: Iterable<FleetWorker>): void {
		const {clock, retentionMs, getEvacuations} = this.#options;
		const evacuations = getEvacuations();
		const nowMs = clock.monotonicMs();
		// An empty list is published once as well: an earlier owner may have published evacuations that have ended since.
		const isDue = evacuations.asOf > this.#publishedAsOf
			|| (evacuations.failureDomains.length > 0 && nowMs - this.#publishedAtMs > retentionMs * repeatShare);
		if (isDue && !this.#isSending && nowMs - this.#triedAtMs >= retryMs) {
			this.#triedAtMs = nowMs;
			void this.#publish(evacuations);
		}

		if (evacuations.failureDomains.length > 0 && nowMs - this.#notedAtMs >= noteEveryMs) {
			this.#notedAtMs = nowMs;
			this.#noteRemaining(evacuations, workers);
		}
	}

	/** Publishes without ordering among writers: agents keep the record with the highest `asOf`. */
	async #publish(evacuations: Evacuations): Promise<void> {
		const {store, clock, partition, epoch, note} = this.#options;
		this.#isSending = true;
		try {
			const {outcome} = await store.append({topic: controlTopic, partition}, [encodeControlRecord({type: ControlRecordType.Evacuations, epoch, ...evacuations})], {timeoutMs: storeTimeoutMs});
			if (outcome === AppendOutcome.Appended) {
				this.#publishedAsOf = evacuations.asOf;
				this.#publishedAtMs = clock.monotonicMs();
				note('evacuations published', {...evacuations});
			}
		} catch (error) {
			note('evacuations not published', {error: getMessage(error)});
		} finally {
			this.#isSending = false;
		}
	}

	#noteRemaining({failureDomains}: Evacuations, workers: Iterable<FleetWorker>): void {
		const {describeHolds, note} = this.#options;
		for (const failureDomain of failureDomains) {
			const inDomain = [...workers].filter(({report}) => report?.failureDomain === failureDomain);
			const runs = inDomain.flatMap(worker => [...worker.runs]);
			note('evacuated domain', {
				failureDomain, workers: inDomain.length, runs: runs.length, lasting: runs.filter(({task: {step: {spec}}}) => spec.isLasting).length, held: describeHolds(failureDomain),
			});
		}
	}
}
