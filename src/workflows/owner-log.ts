/**
What an owner writes to the jobs stream: its claim, ends of runs, and which jobs have begun.
*/
import {
	controlTopic, ControlType, encodeControl,
} from '../agents/control-records.ts';
import {getMessage} from '../core/errors.ts';
import {ProducerWriter, WriteOutcome} from '../core/producer-writer.ts';
import {type Clock} from '../types/clock.ts';
import {AppendOutcome, type StoreClient} from '../types/store.ts';
import {type EndedRun} from '../types/workflows.ts';
import {type WorkflowFollower} from './follower.ts';
import {forgetOld, getRewrites} from './rewriter.ts';
import {
	encodeRecord, RecordType, workflowsTopic, type CrashedTask, type HarmPair, type SavedRun, type WorkflowRecord,
} from './records.ts';

/** Options of the log. */
export type OwnerLogOptions = {
	store: StoreClient;
	clock: Clock;
	follower: WorkflowFollower;
	partition: number;
	host: string;
	epoch: number;
	maxCallBytes: number;
	/** How long the store keeps records. */
	keptMs: number;
	/** A newer owner has written to the stream. */
	onFenced: () => void;
	note: (event: string, fields: Record<string, unknown>) => void;
};

/** Name under which every owner writes: the epoch tells them apart and keeps earlier ones out. */
const ownerProducer = 'owner';
/** Ends gather for so long before they are stored: one call takes them all, and wakes all readers once. */
const gatherMs = 15;
const begunEveryMs = 400;
/** An owner that dies takes at most so much of what it learned with it. */
const harmEveryMs = 3000;
/** Workers save each second of work. */
const savedEveryMs = 1000;
const retryMs = 150;
const storeTimeoutMs = 1000;

/** The log of one owner. */
export class OwnerLog {
	readonly #options: OwnerLogOptions;
	readonly #writer: ProducerWriter;
	readonly #begun = new Set<string>();
	#begunSentAtMs = 0;
	#harmSentAtMs = 0;
	#savedSentAtMs = 0;
	#lastEnds: Promise<boolean> = Promise.resolve(true);

	constructor(options: OwnerLogOptions) {
		const {store, clock, partition, epoch, maxCallBytes, note} = options;
		this.#options = options;
		this.#writer = new ProducerWriter({
			store,
			clock,
			ref: {topic: workflowsTopic, partition},
			producer: ownerProducer,
			epoch,
			gatherMs,
			maxBatchBytes: maxCallBytes / 2,
			onNote(event, detail) {
				note(`store ${event}`, {detail, writer: ownerProducer});
			},
		});
	}

	/**
	Fences off the owner before in the jobs stream, tells agents by the control stream, and reads the stream to its end.
	Resolves to the offset behind the claim; undefined when a newer owner is known.
	*/
	async claim(signal: AbortSignal): Promise<number | undefined> {
		const {epoch, host, follower, clock} = this.#options;
		if (!await this.#write({type: RecordType.Claim, epoch, owner: host})) {
			return undefined;
		}

		while (!signal.aborted) {
			const isTold = await this.#tellAgents();
			if (isTold === false) {
				return undefined;
			}

			if (isTold && await follower.catchUp(storeTimeoutMs) && follower.fold.epoch >= epoch) {
				return follower.fold.epoch === epoch ? follower.fold.offset : undefined;
			}

			await clock.sleep(retryMs, signal);
		}

		return undefined;
	}

	/** Stores ends; resolves to whether these and all before are stored. */
	async storeEnds(ends: EndedRun[]): Promise<boolean> {
		const before = this.#lastEnds;
		const write = ends.length === 0 ? before : this.#write({type: RecordType.Ends, ends});
		this.#lastEnds = (async () => {
			const stored = await Promise.all([before, write]);
			return stored.every(Boolean);
		})();
		return this.#lastEnds;
	}

	/** Stores crashes that count for tasks; resolves to whether they are stored. */
	async storeCrashes(crashes: CrashedTask[]): Promise<boolean> {
		return crashes.length === 0 || this.#write({type: RecordType.Crashes, crashes});
	}

	/** Notes that a first task of the job has started; stored with the next ones. */
	noteBegun(id: string): void {
		this.#begun.add(id);
	}

	/** Stores what has begun, now and then. */
	sendBegun(): void {
		const nowMs = this.#options.clock.monotonicMs();
		if (this.#begun.size > 0 && nowMs - this.#begunSentAtMs >= begunEveryMs) {
			this.#begunSentAtMs = nowMs;
			const ids = [...this.#begun];
			this.#begun.clear();
			void this.#write({type: RecordType.Begun, ids});
		}
	}

	/** Writes how far runs are now and then: when hosts lose power together, nobody else knows. */
	keepSaved(getSaved: () => SavedRun[]): void {
		const nowMs = this.#options.clock.monotonicMs();
		if (nowMs - this.#savedSentAtMs < savedEveryMs) {
			return;
		}

		this.#savedSentAtMs = nowMs;
		const runs = getSaved();
		if (runs.length > 0) {
			void this.#write({type: RecordType.Saved, runs});
		}
	}

	/** Writes what was learned of harm now and then: the next owner begins with it. */
	keepHarm(getPairs: () => HarmPair[]): void {
		const nowMs = this.#options.clock.monotonicMs();
		if (nowMs - this.#harmSentAtMs < harmEveryMs) {
			return;
		}

		this.#harmSentAtMs = nowMs;
		const pairs = getPairs();
		if (pairs.length > 0) {
			void this.#write({type: RecordType.Harm, pairs});
		}
	}

	/** Writes jobs again whose records the store will let go. */
	rewrite(): void {
		const {follower: {fold}, clock, keptMs} = this.#options;
		for (const record of getRewrites(fold, clock, keptMs)) {
			void this.#write(record);
		}

		forgetOld(fold, clock, keptMs);
	}

	/** Undefined: not known yet; false: a newer owner was there. */
	async #tellAgents(): Promise<boolean | undefined> {
		const {store, partition, epoch, host, note} = this.#options;
		try {
			const {outcome} = await store.append({topic: controlTopic, partition}, [encodeControl({type: ControlType.Claim, epoch, owner: host})], {
				stamp: {producer: ownerProducer, epoch, sequence: 0}, timeoutMs: storeTimeoutMs,
			});
			if (outcome === AppendOutcome.Fenced) {
				return false;
			}

			return outcome === AppendOutcome.Appended ? true : undefined;
		} catch (error) {
			note('claim not stored', {error: getMessage(error)});
			return undefined;
		}
	}

	async #write(record: WorkflowRecord): Promise<boolean> {
		const outcome = await this.#writer.write(encodeRecord(record));
		if (outcome === WriteOutcome.Fenced || outcome === WriteOutcome.Unknown) {
			this.#options.onFenced();
		}

		return outcome === WriteOutcome.Stored;
	}
}
