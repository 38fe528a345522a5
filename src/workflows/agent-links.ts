/**
The owner's connections to the agents of its service: finds them by their registrations, keeps one task for each that
waits for news, and sends orders.
*/
import {decodeRegistration} from '../agents/control-records.ts';
import {getMessage} from '../core/errors.ts';
import {type Clock} from '../types/clock.ts';
import {
	type AgentRegistration, type Order, type OrdersReply, type OrdersRequest, type WatchReply, type WatchRequest,
} from '../types/fleet.ts';
import {type PartitionRef, type StoreClient} from '../types/store.ts';
import {PeerClock} from '../utils/peer-clock.ts';
import {type FleetWorker} from './fleet-view.ts';

/** Calls to agents. Throw `peer-unavailable` without an answer. */
export type AgentClient = {
	watch(address: string, request: WatchRequest, timeoutMs: number, signal: AbortSignal): Promise<WatchReply>;
	order(address: string, request: OrdersRequest, timeoutMs: number): Promise<OrdersReply>;
};

/** Options of the links. */
export type AgentLinksOptions = {
	store: StoreClient;
	registrations: PartitionRef;
	/** Whether the registration's service is one of this owner's. */
	isMine: (registration: AgentRegistration) => boolean;
	client: AgentClient;
	clock: Clock;
	epoch: number;
	/** Latest store read that showed this owner as the newest, by the start of the read. */
	getProvenAtMs: () => number;
	onReply: (worker: FleetWorker, reply: WatchReply) => void;
	onDeposed: (newerEpoch: number) => void;
	note: (event: string, fields: Record<string, unknown>) => void;
};

/** A state without news is told again after this. Longer than the time between two listings, each of which brings new figures. */
const watchWaitMs = 600;
/** A silent agent shows after this beyond the wait. */
const watchSlackMs = 500;
const retryMs = 100;
const registryWaitMs = 2000;
/** An order is good for so long on the agent's clock; later it is refused as expired. */
export const orderGoodMs = 1500;
const orderTimeoutMs = 1600;

/** While nothing was heard of runs, their progress was not either: that is no sign that they stand still. */
const restartProgress = (worker: FleetWorker, nowMs: number): void => {
	for (const run of worker.runs) {
		run.progressAtMs = nowMs;
	}
};

/** The links of one owner. */
export class AgentLinks {
	readonly workers = new Map<string, FleetWorker>();
	readonly #options: AgentLinksOptions;
	#registryOffset = 0;
	#isRegistryRead = false;

	constructor(options: AgentLinksOptions) {
		this.#options = options;
	}

	/** Whether the registrations were read. */
	get isRegistryRead(): boolean {
		return this.#isRegistryRead;
	}

	/** Runs until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {store, registrations, clock, note} = this.#options;
		while (!signal.aborted) {
			try {
				if (this.#isRegistryRead) {
					const {records, endOffset} = await store.readKeyed(registrations, this.#registryOffset, registryWaitMs, signal);
					for (const {key, value, offset} of records) {
						this.#take(key, value, offset, signal);
					}

					this.#registryOffset = Math.max(this.#registryOffset, records.length > 0 ? records.at(-1)!.offset + 1 : Math.min(endOffset, this.#registryOffset));
				} else {
					const {records, endOffset} = await store.newest(registrations, signal);
					for (const {key, value, offset} of records) {
						this.#take(key, value, offset, signal);
					}

					this.#registryOffset = endOffset;
					this.#isRegistryRead = true;
				}
			} catch (error) {
				if (signal.aborted) {
					return;
				}

				// Also when old registrations were trimmed: the newest of each agent is always kept.
				this.#isRegistryRead = false;
				note('registrations not read', {error: getMessage(error)});
				await clock.sleep(retryMs, signal);
			}
		}
	}

	/** Sends orders; undefined without an answer: they may have been carried out. */
	async order(worker: FleetWorker, orders: Order[], notAfterMs = this.getNotAfterMs(worker, orderGoodMs)): Promise<OrdersReply | undefined> {
		const {client, epoch, note} = this.#options;
		const {workerId, milliCpu, memoryMb, accelerators} = worker.report!;
		try {
			return await client.order(worker.address, {
				epoch, workerId, agentLife: worker.agentLife, notAfterMs, capacity: {milliCpu, memoryMb, accelerators}, orders,
			}, orderTimeoutMs);
		} catch (error) {
			note('orders unanswered', {host: worker.host, orders: orders.length, error: getMessage(error)});
			return undefined;
		}
	}

	/** Until when an order that is good for so long from now is good on the agent's clock. */
	getNotAfterMs(worker: FleetWorker, goodMs: number): number {
		return worker.agentClock.read(this.#options.clock.monotonicMs()) + goodMs;
	}

	#take(host: string, value: Buffer | undefined, offset: number, signal: AbortSignal): void {
		if (value === undefined) {
			return;
		}

		const registration = this.#decode(host, value);
		if (!registration || !this.#options.isMine(registration)) {
			return;
		}

		const known = this.workers.get(host);
		if (known) {
			known.address = registration.address;
			known.session = Math.max(known.session, offset);
			return;
		}

		const worker: FleetWorker = {
			host,
			address: registration.address,
			session: offset,
			agentLife: '',
			version: 0,
			report: undefined,
			isListed: false,
			isAnswering: false,
			heardAtMs: Number.NEGATIVE_INFINITY,
			agentClock: new PeerClock(),
			workerClockMs: 0,
			silentSinceMs: this.#options.clock.monotonicMs(),
			runs: new Set(),
			health: {spec: {workerId: host}, isHeld: false, isProbing: false},
			takenEnd: 0,
			storedEnd: 0,
			isProven: false,
			takenCrash: 0,
			storedCrash: 0,
			blockedUntilMs: 0,
			unknownStopAtMs: Number.NEGATIVE_INFINITY,
			paces: new Map(),
			isFillStopped: false,
			fillUses: [],
			harmNotedAtMs: Number.NEGATIVE_INFINITY,
		};
		this.workers.set(host, worker);
		void this.#follow(worker, signal);
	}

	/** A record that cannot be read names no agent; the others hold. */
	#decode(host: string, value: Buffer): AgentRegistration | undefined {
		try {
			return decodeRegistration(value);
		} catch (error) {
			this.#options.note('registration not valid', {host, error: getMessage(error)});
			return undefined;
		}
	}

	async #follow(worker: FleetWorker, signal: AbortSignal): Promise<void> {
		const {clock, note} = this.#options;
		while (!signal.aborted && this.workers.get(worker.host) === worker) {
			try {
				await this.#watch(worker, signal);
			} catch (error) {
				if (signal.aborted) {
					return;
				}

				if (worker.silentSinceMs === undefined) {
					worker.silentSinceMs = clock.monotonicMs();
					note('agent silent', {host: worker.host, error: getMessage(error)});
				}

				await clock.sleep(retryMs, signal);
			}
		}
	}

	async #watch(worker: FleetWorker, signal: AbortSignal): Promise<void> {
		const {client, clock, epoch, onDeposed, onReply, note} = this.#options;
		const workerId = worker.report?.workerId;
		const hasProof = workerId !== undefined && this.#options.getProvenAtMs() >= worker.heardAtMs && worker.lostSession !== worker.session;
		const sentAtMs = clock.monotonicMs();
		const reply = await client.watch(worker.address, {
			epoch,
			agentLife: worker.agentLife,
			knownVersion: worker.version,
			waitMs: watchWaitMs,
			crashesStored: worker.storedCrash,
			...(workerId !== undefined && {forget: {workerId, upTo: worker.storedEnd}}),
			...(hasProof && {proof: {workerId, clockMs: worker.workerClockMs, session: worker.session}}),
		}, watchWaitMs + watchSlackMs, signal);
		if (signal.aborted) {
			return;
		}

		if (reply.newerEpoch !== undefined) {
			onDeposed(reply.newerEpoch);
			return;
		}

		if (worker.silentSinceMs !== undefined || (reply.isAnswering && !worker.isAnswering)) {
			worker.silentSinceMs = undefined;
			restartProgress(worker, clock.monotonicMs());
			note('agent answers', {host: worker.host, session: reply.session, workerId: reply.worker?.workerId});
		}

		worker.heardAtMs = clock.monotonicMs();
		worker.workerClockMs = reply.workerClockMs;
		worker.session = Math.max(worker.session, reply.session);
		if (reply.worker && reply.worker.workerId !== workerId) {
			worker.takenEnd = 0;
			worker.storedEnd = 0;
		}

		if (reply.agentLife !== worker.agentLife) {
			worker.takenCrash = 0;
			worker.storedCrash = 0;
			worker.agentClock = new PeerClock();
		}

		worker.agentClock.note(reply.agentClockMs, {sentAtMs, handledAtMs: worker.heardAtMs});

		worker.report = reply.worker;
		worker.isListed = reply.isListed;
		worker.isAnswering = reply.isAnswering;
		worker.agentLife = reply.agentLife;
		worker.version = reply.version;
		onReply(worker, reply);
	}
}
