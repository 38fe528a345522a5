/**
Callers of a site: each keeps its connection to an entry until that entry is gone, repeats what had no answer at another one,
and asks for the states of its jobs.
*/
import {type Clock} from '../../src/types/clock.ts';
import {type Random} from '../../src/types/random.ts';
import {createHttpClient, type HttpClient} from '../../src/utils/keep-alive-client.ts';
import {type OfferedJob} from './offered-jobs.ts';
import {type KnownJob, type PromiseChecker} from './promise-checker.ts';

/** Options of a caller. */
export type CallerOptions = {
	clock: Clock;
	random: Random;
	checker: PromiseChecker;
	/** Addresses of all entries. */
	entries: string[];
	/** Index of the entry that it connects to first. */
	firstEntry: number;
	host: string;
	pathPrefix: string;
	note: (text: string) => void;
};

const deadlineMs = 3000;
const retryMs = 300;
const maxAttempts = 12;
const repeatShare = 0.1;

/** A caller. */
export class Caller {
	readonly counts = {answered: 0, unanswered: 0};
	readonly #options: CallerOptions;
	#http: HttpClient = createHttpClient(1);
	#entry: number;

	constructor(options: CallerOptions) {
		this.#options = options;
		this.#entry = options.firstEntry;
	}

	/** Submits a job until it is accepted, refused for good, or has had too many attempts. */
	async submit(offered: OfferedJob): Promise<KnownJob> {
		const {clock, random, checker} = this.#options;
		const job: KnownJob = {...offered, isAccepted: false, isRefusedOnly: true};
		checker.jobs.set(job.id, job);
		for (let attempt = 0; attempt < maxAttempts && !job.isAccepted; attempt++) {
			const status = await this.#call('POST', job);
			job.isAccepted = status === 200;
			job.isRefusedOnly &&= status === 503 || status === 429;
			await clock.sleep(retryMs + random.below(retryMs));
		}

		if (job.isAccepted && random.next() < repeatShare) {
			await this.#call('POST', job);
		}

		return job;
	}

	/** Submits a job once, whatever comes of it. */
	async submitOnce(job: KnownJob): Promise<void> {
		job.isAccepted = await this.#call('POST', job) === 200 || job.isAccepted;
	}

	async ask(job: KnownJob): Promise<void> {
		await this.#call('GET', job);
	}

	/** Cancels a job; resolves when that is answered. */
	async cancel(job: KnownJob): Promise<void> {
		const {clock, note} = this.#options;
		job.cancelSentAtMs = clock.monotonicMs();
		note(`${job.id} is being cancelled`);
		for (let attempt = 0; attempt < maxAttempts && job.cancelledAtMs === undefined; attempt++) {
			const status = await this.#call('DELETE', job);
			// A job that was accepted is known: the checker reports a 410.
			if (status === 200 || status === 410) {
				job.cancelledAtMs = clock.monotonicMs();
			}

			await clock.sleep(retryMs);
		}
	}

	close(): void {
		this.#http.close();
	}

	/** Calls the entry of its connection; without an answer the next call goes to another entry. */
	async #call(method: string, job: KnownJob): Promise<number | undefined> {
		const {clock, random, checker, entries, host, pathPrefix} = this.#options;
		const askedAtMs = clock.monotonicMs();
		const wasAccepted = job.isAccepted;
		try {
			const {status, json, headers} = await this.#http.callJson({
				address: entries[this.#entry]!,
				method,
				path: pathPrefix + job.id,
				headers: {host, 'deadline-ms': String(deadlineMs)},
				...(method === 'POST' && {json: job.body}),
				timeoutMs: deadlineMs,
				step: 'call as a caller',
			});
			this.counts.answered++;
			checker.recordAnswer(job, {
				method, status, askedAtMs, wasAccepted, state: (json as {state?: string} | undefined)?.state,
			});
			if (headers.connection === 'close' || status >= 500) {
				this.#entry = random.below(entries.length);
			}

			return status;
		} catch {
			this.counts.unanswered++;
			this.#http.close();
			this.#http = createHttpClient(1);
			this.#entry = random.below(entries.length);
			return undefined;
		}
	}
}
