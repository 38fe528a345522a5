/**
Serves a stand-in worker over HTTP in the platform's format, and sends its announcements to its agent.
*/
import {SiteWorker} from '../../src/standin/site-worker.ts';
import {type SiteWorkerOptions} from '../../src/standin/worker-options.ts';
import {type Clock} from '../../src/types/clock.ts';
import {
	OrderRefusal, type WorkerAnswer, type WorkerClient, type WorkerListing, type WorkerReport, type WorkerStart,
} from '../../src/types/fleet.ts';
import {type Random} from '../../src/types/random.ts';
import {createHttpClient, type HttpClient} from '../../src/utils/keep-alive-client.ts';
import {FaultyServer, type ServedAnswer, type ServedCall} from './faulty-server.ts';

/** Options of the endpoint. */
export type WorkerEndpointOptions = {
	name: string;
	clock: Clock;
	random: Random;
	worker: Omit<SiteWorkerOptions, 'clock'>;
	/** Speed of the worker's clock; 0.98 is as slow as the platform allows. */
	clockRate: number;
};

type Body = {
	task: string; run: number; spec: string; untilMs?: number; fence?: number; checkpoint?: string; percent: number; seenUpto?: number; waitMs?: number;
};

const statusByRefusal: Partial<Record<OrderRefusal, {status: number; reason?: string}>> = {
	[OrderRefusal.StaleFence]: {status: 409, reason: 'fence'},
	[OrderRefusal.OldRun]: {status: 409, reason: 'old'},
	[OrderRefusal.StartTooLate]: {status: 409, reason: 'late'},
	[OrderRefusal.OtherWorkerIncarnation]: {status: 421},
};
const minAnnounceMs = 500;
const announceSpreadMs = 1000;
const announceTimeoutMs = 1000;

/** A worker that its agent reaches over HTTP. */
export class WorkerEndpoint {
	readonly worker: SiteWorker;
	readonly server: FaultyServer;
	readonly #options: WorkerEndpointOptions;
	readonly #client: WorkerClient;
	/** Whether the worker has ended for good. */
	#isGone = false;
	#isLeaving = false;
	#endsAtMs: number | undefined;
	#announcement = Promise.resolve();
	#agent: {http: HttpClient; address: string; signal: AbortSignal} | undefined;

	constructor(options: WorkerEndpointOptions) {
		const {clock, clockRate, worker, name} = options;
		this.#options = options;
		this.worker = new SiteWorker(name, {...worker, clock: {...clock, monotonicMs: () => clock.monotonicMs() * clockRate}});
		this.#client = this.worker.createClient();
		this.server = new FaultyServer({clock, handle: async call => this.#handle(call)});
	}

	/** Crashes the worker; it returns as another incarnation after `downtimeMs`. */
	crash(downtimeMs: number): void {
		if (this.#isGone) {
			return;
		}

		this.#endsAtMs = undefined;
		this.worker.crash(downtimeMs);
		this.worker.isDraining = false;
		this.server.resetConnections();
	}

	/** Announces the worker to its agent until the signal aborts, then closes the server. */
	async run(agentAddress: string, signal: AbortSignal): Promise<void> {
		const {clock, random} = this.#options;
		const http = createHttpClient(1);
		this.#agent = {http, address: agentAddress, signal};
		while (!signal.aborted && !this.#isGone) {
			await this.#announce();

			await clock.sleep(minAnnounceMs + random.below(announceSpreadMs), signal);
		}

		http.close();
		this.server.close();
	}

	/** Says that the worker drains and ends after the time given. */
	async drain(forMs: number): Promise<void> {
		this.worker.isDraining = true;
		this.#endsAtMs = this.#options.clock.monotonicMs() + forMs;
		await this.#announce();
	}

	/** Says that the worker leaves, after its last announcement, and ends it for good. */
	async leave(): Promise<void> {
		this.#isLeaving = true;
		await this.#announcement;
		if (!this.worker.isDown) {
			await this.#call('DELETE');
		}

		this.end();
	}

	/** Ends the worker and its runs for good, without a word. */
	end(): void {
		this.worker.crash();
		this.#isGone = true;
		this.server.close();
	}

	/** Announces the worker, one announcement after the other: a late one would tell of a worker that has left. */
	async #announce(): Promise<void> {
		const previous = this.#announcement;
		this.#announcement = (async () => {
			await previous;
			if (!this.worker.isDown && !this.#isLeaving && !this.#isGone) {
				await this.#call('PUT');
			}
		})();
		await this.#announcement;
	}

	async #call(method: 'PUT' | 'DELETE'): Promise<void> {
		const {http, address, signal} = this.#agent!;
		const report = this.worker.announce();
		try {
			await http.callJson({
				address,
				method,
				path: `/instances/${report.workerId}`,
				timeoutMs: announceTimeoutMs,
				step: 'announce',
				signal,
				json: method === 'PUT' ? this.#formatAnnouncement(report) : undefined,
			});
		} catch {
			// The agent is down, paused or starting.
		}
	}

	#formatAnnouncement({service, failureDomain, isDraining, milliCpu, memoryMb, accelerators, labels, sequence}: WorkerReport): Record<string, unknown> {
		return {
			service,
			address: 'worker',
			zone: failureDomain,
			version: 'v1',
			slots: 8,
			state: isDraining ? 'draining' : 'ready',
			coldRemainingMs: 0,
			remainingMs: this.#endsAtMs === undefined ? undefined : Math.max(0, this.#endsAtMs - this.#options.clock.monotonicMs()),
			capacity: {cpu: milliCpu, memMb: memoryMb, gpu: accelerators},
			labels,
			seq: sequence,
		};
	}

	async #handle({url, headers, body}: ServedCall): Promise<ServedAnswer> {
		if (this.#isGone) {
			throw new Error('the worker has ended');
		}

		const expected = headers['expect-instance'] as string;
		const order = JSON.parse(body.toString()) as Body;
		const fence = order.fence ?? 0;
		const run = {taskId: order.task, run: order.run};
		switch (url.pathname) {
			case '/run-start': {
				const start: WorkerStart = {...run, input: order.spec, checkpoint: order.checkpoint ?? ''};
				return this.#format(await this.#client.start(expected, start, {fence, leaseUntilMs: order.untilMs ?? 0}));
			}

			case '/run-stop': {
				return this.#format(await this.#client.stop(expected, run, fence));
			}

			case '/pace': {
				return this.#format(await this.#client.throttle(expected, {...run, percent: order.percent}, fence));
			}

			case '/hold': {
				const listing = await this.#client.renew(expected, {
					fence, forgetUpTo: order.seenUpto ?? 0, leaseUntilMs: order.untilMs, waitMs: order.waitMs ?? 0,
				});
				return 'refusal' in listing ? this.#format({isDone: false, refusal: listing.refusal}) : this.#formatListing(listing);
			}

			default: {
				return {status: 404, body: '{}'};
			}
		}
	}

	#format({isDone, refusal, clockMs}: WorkerAnswer): ServedAnswer {
		const {status, reason}: {status: number; reason?: string} = isDone ? {status: 200} : statusByRefusal[refusal!] ?? {status: 400};
		return {status, body: JSON.stringify({clockMs: clockMs === undefined ? undefined : Math.floor(clockMs), reason}), headers: this.#getHeaders()};
	}

	#formatListing({clockMs, running, ended}: WorkerListing): ServedAnswer {
		return {
			status: 200,
			headers: this.#getHeaders(),
			body: JSON.stringify({
				clockMs: Math.floor(clockMs),
				running: running.map(({taskId, run, checkpoint, percent, recent}) => [taskId, run, checkpoint, percent, recent]),
				ended: ended.map(({number, taskId, run, end, checkpoint}) => [number, taskId, run, end, checkpoint]),
			}),
		};
	}

	#getHeaders(): Record<string, string> {
		return {'content-type': 'application/json', 'instance-id': this.worker.workerId};
	}
}
