/**
Tells agents which failure domains are evacuated, by the control stream that they follow anyway: each refuses starts itself, also
those of an owner that does not know of it.
*/
import {controlTopic, ControlType, encodeControl} from '../agents/control-records.ts';
import {getMessage} from '../core/errors.ts';
import {type Clock} from '../types/clock.ts';
import {type Evacuations} from '../types/site.ts';
import {AppendOutcome, type StoreClient} from '../types/store.ts';
import {type FleetWorker} from './fleet-view.ts';

/** Options of the notice. */
export type EvacuationNoticeOptions = {
	store: StoreClient;
	clock: Clock;
	partition: number;
	epoch: number;
	/** How long the store keeps records. */
	keptMs: number;
	getEvacuations: () => Evacuations;
	note: (event: string, fields: Record<string, unknown>) => void;
};

/** Told again after this part of the time that the store keeps records: an agent that starts reads what is kept. */
const repeatShare = 1 / 3;
const retryMs = 150;
const storeTimeoutMs = 1000;
const noteEveryMs = 1000;

/** The notice of one owner. */
export class EvacuationNotice {
	readonly #options: EvacuationNoticeOptions;
	#toldAsOf = -1;
	#toldAtMs = Number.NEGATIVE_INFINITY;
	#triedAtMs = Number.NEGATIVE_INFINITY;
	#notedAtMs = Number.NEGATIVE_INFINITY;
	#isSending = false;

	constructor(options: EvacuationNoticeOptions) {
		this.#options = options;
	}

	/** Tells what is new, and again what would be forgotten; to be called every now and then. */
	update(workers: Iterable<FleetWorker>): void {
		const {clock, keptMs, getEvacuations} = this.#options;
		const evacuations = getEvacuations();
		const nowMs = clock.monotonicMs();
		// What an earlier owner told may have been taken back since: also an empty list is told once.
		const isDue = evacuations.asOf > this.#toldAsOf
			|| (evacuations.failureDomains.length > 0 && nowMs - this.#toldAtMs > keptMs * repeatShare);
		if (isDue && !this.#isSending && nowMs - this.#triedAtMs >= retryMs) {
			this.#triedAtMs = nowMs;
			void this.#tell(evacuations);
		}

		if (evacuations.failureDomains.length > 0 && nowMs - this.#notedAtMs >= noteEveryMs) {
			this.#notedAtMs = nowMs;
			this.#noteWhatIsLeft(evacuations, workers);
		}
	}

	/** Records without an order among writers: agents take the one that holds up to the highest offset. */
	async #tell(evacuations: Evacuations): Promise<void> {
		const {store, clock, partition, epoch, note} = this.#options;
		this.#isSending = true;
		try {
			const {outcome} = await store.append({topic: controlTopic, partition}, [encodeControl({type: ControlType.Evacuations, epoch, ...evacuations})], {timeoutMs: storeTimeoutMs});
			if (outcome === AppendOutcome.Appended) {
				this.#toldAsOf = evacuations.asOf;
				this.#toldAtMs = clock.monotonicMs();
				note('evacuations told', {...evacuations});
			}
		} catch (error) {
			note('evacuations not told', {error: getMessage(error)});
		} finally {
			this.#isSending = false;
		}
	}

	#noteWhatIsLeft({failureDomains}: Evacuations, workers: Iterable<FleetWorker>): void {
		const {note} = this.#options;
		for (const failureDomain of failureDomains) {
			const inDomain = [...workers].filter(({report}) => report?.failureDomain === failureDomain);
			const runs = inDomain.flatMap(worker => [...worker.runs]);
			note('evacuated domain', {
				failureDomain, workers: inDomain.length, runs: runs.length, lasting: runs.filter(({task: {step: {spec}}}) => spec.isLasting).length,
			});
		}
	}
}
