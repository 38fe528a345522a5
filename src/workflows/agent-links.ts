/**
The owner's connections to the agents of its services: finds them by their registrations, keeps one long poll for each
agent's state open, and sends orders.
*/
import {type RegistrationReader} from '../agents/registration-reader.ts';
import {createError, ErrorCode, getMessage} from '../core/errors.ts';
import {type Clock} from '../types/clock.ts';
import {
	type AgentRegistration, type Order, type OrdersReply, type OrdersRequest, type WatchReply, type WatchRequest,
} from '../types/fleet.ts';
import {type PartitionRef, type StoreClient} from '../types/store.ts';
import {PeerClock} from '../utils/peer-clock.ts';
import {getLeaseExpiryMs} from '../agents/worker-lease.ts';
import {createFleetWorker, type AgentLoss, type FleetWorker} from './fleet-view.ts';
import {ServiceFleets} from './service-fleets.ts';
import {type SessionRecord} from './session-records.ts';

/** Calls to agents. They throw `peer-unavailable` if there is no answer. */
export type AgentClient = {
	watch(address: string, request: WatchRequest, timeoutMs: number, signal: AbortSignal): Promise<WatchReply>;
	order(address: string, request: OrdersRequest, timeoutMs: number): Promise<OrdersReply>;
};

/** Options of the links. */
export type AgentLinksOptions = {
	store: StoreClient;
	registrations: PartitionRef;
	reader: RegistrationReader;
	/** Whether the registered agent's service belongs to the partition of this owner. */
	isOwned: (registration: AgentRegistration) => boolean;
	client: AgentClient;
	clock: Clock;
	epoch: number;
	/** Gets the newest loss that an owner has declared and stored. */
	getStoredLoss: (host: string) => SessionRecord | undefined;
	/** Start of the last store read that reached the end of the stream and showed this owner as the newest. */
	getCaughtUpAtMs: () => number;
	onReply: (worker: FleetWorker, reply: WatchReply) => void;
	/** Gets the newest departure that an owner has read and stored. */
	getStoredDeparture: (host: string) => SessionRecord | undefined;
	/** The agent has been told to stop. */
	onDeparture: (worker: FleetWorker) => void;
	/** The last state of such an agent. */
	onLastState: (worker: FleetWorker, state: WatchReply) => void;
	/** The agent's registration was removed: nothing runs on its worker any more, and the links have dropped it. */
	onRemoved: (worker: FleetWorker) => void;
	onSuperseded: (newerEpoch: number) => void;
	note: (event: string, fields: Record<string, unknown>) => void;
};

/** An agent answers a poll after this even if its state has not changed. Longer than the time between two listings, each of which has new measurements. */
const pollWaitMs = 600;
/** Time-out of a poll beyond its wait. */
const pollSlackMs = 500;
/** A state is logged as late if the agent built it this long ago: most links and threads deliver one within a poll. */
const lateStateMs = 1000;
const retryMs = 100;
const registryWaitMs = 2000;
/** How long an order is valid, on the agent's clock; later it is refused as expired. */
export const orderValidityMs = 1500;
const orderTimeoutMs = 1600;

/** Restarts the stall detection of a worker's runs: no progress was reported while the agent or worker did not answer, which does not mean that they stalled. */
const restartStallDetection = (worker: FleetWorker, nowMs: number): void => {
	for (const run of worker.runs) {
		run.progressAtMs = nowMs;
	}
};

/** Connections of one owner. */
export class AgentLinks {
	readonly fleets = new ServiceFleets();
	/** Workers of all services, by host. */
	readonly workers = this.fleets.workers;
	readonly #options: AgentLinksOptions;
	#registryOffset = 0;
	#isRegistryRead = false;

	constructor(options: AgentLinksOptions) {
		this.#options = options;
	}

	/** Whether the registrations have been read to their end. */
	get isRegistryRead(): boolean {
		return this.#isRegistryRead;
	}

	/** Follows registrations and connects to their agents until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {store, registrations, clock, note} = this.#options;
		while (!signal.aborted) {
			try {
				if (this.#isRegistryRead) {
					const {records, endOffset} = await store.readKeyed(registrations, this.#registryOffset, registryWaitMs, signal);
					for (const {key, value, offset} of records) {
						this.#applyRegistration(key, value, offset, signal);
					}

					this.#registryOffset = Math.max(this.#registryOffset, records.length > 0 ? records.at(-1)!.offset + 1 : Math.min(endOffset, this.#registryOffset));
				} else {
					await this.#readAll(signal);
				}
			} catch (error) {
				if (signal.aborted) {
					return;
				}

				// Read all again, also if old registrations were trimmed: the store always keeps the newest of each agent.
				this.#isRegistryRead = false;
				note('registrations not read', {error: getMessage(error)});
				await clock.sleep(retryMs, signal);
			}
		}
	}

	/** Sends orders; resolves to undefined if there is no answer, in which case they may have been carried out. */
	async order(worker: FleetWorker, orders: Order[], notAfterMs = this.getNotAfterMs(worker, orderValidityMs)): Promise<OrdersReply | undefined> {
		const {client, epoch, note} = this.#options;
		const {workerId, milliCpu, memoryMb, accelerators} = worker.report!;
		try {
			return await client.order(worker.address, {
				epoch, workerId, agentLife: worker.agentLife, session: worker.session, notAfterMs, capacity: {milliCpu, memoryMb, accelerators}, orders,
			}, orderTimeoutMs);
		} catch (error) {
			note('orders unanswered', {host: worker.host, orders: orders.length, error: getMessage(error)});
			return undefined;
		}
	}

	/** Converts a period of validity from now to an expiry time on the agent's clock. */
	getNotAfterMs(worker: FleetWorker, validityMs: number): number {
		return worker.agentClock.estimate(this.#options.clock.monotonicMs()) + validityMs;
	}

	#applyRegistration(host: string, value: Buffer | undefined, offset: number, signal: AbortSignal): void {
		if (value === undefined) {
			this.#applyRemoval(host, offset);
			return;
		}

		const {reader, isOwned} = this.#options;
		const registration = reader.read(host, value, offset);
		if (!registration || !isOwned(registration)) {
			return;
		}

		const known = this.workers.get(host);
		if (known) {
			known.address = registration.address;
			if (offset >= known.session) {
				this.#changeService(known, registration);
				known.session = offset;
				known.firstSession = registration.firstSession;
				this.#applyDeparture(known, registration, offset);
			}

			return;
		}

		const worker = createFleetWorker({...registration, session: offset, nowMs: this.#options.clock.monotonicMs()});
		worker.loss = this.#restoreLoss(host, offset);
		this.fleets.add(worker);
		this.#applyDeparture(worker, registration, offset);
		void this.#keepWatching(worker, signal);
	}

	/** Moves a worker to the service of a newer registration: operators may give its host to another service. */
	#changeService(worker: FleetWorker, {service}: AgentRegistration): void {
		if (service !== worker.service) {
			this.#options.note('service changed', {host: worker.host, from: worker.service, service});
			worker.service = service;
			this.fleets.add(worker);
		}
	}

	/** Applies the last state of an agent that has been told to stop, unless another process of it has answered: that one may be newer. */
	#applyDeparture(worker: FleetWorker, {departure}: AgentRegistration, offset: number): void {
		if (!departure || worker.departure?.session === offset) {
			return;
		}

		const {clock, note, getStoredDeparture, onDeparture, onLastState} = this.#options;
		const {leaseMs, state} = departure;
		const nowMs = clock.monotonicMs();
		const stored = getStoredDeparture(worker.host);
		const readAtMs = stored?.session === offset ? stored.readAtMs : nowMs;
		worker.departure = {session: offset, leasesExpireAtMs: readAtMs + getLeaseExpiryMs(leaseMs), isRemovalRequested: false};
		worker.unresponsiveSinceMs ??= nowMs;
		note('agent departs', {
			host: worker.host, session: offset, leaseMs: Math.round(leaseMs), isListed: state?.isListed, runs: state?.running.length,
		});
		if (state && (worker.agentLife === '' || (state.agentLife === worker.agentLife && state.version >= worker.version))) {
			this.#applyState(worker, state);
			onLastState(worker, state);
		}

		if (stored?.session !== offset) {
			onDeparture(worker);
		}
	}

	/** Drops an agent whose registration was removed, at the offset or before; one that has registered since stays. */
	#applyRemoval(host: string, offset: number): void {
		const {note, onRemoved} = this.#options;
		const worker = this.workers.get(host);
		if (worker && worker.session < offset) {
			note('registration gone', {
				host, session: worker.session, offset, isListed: worker.isListed, runs: worker.runs.size,
			});
			this.fleets.remove(worker);
			onRemoved(worker);
		}
	}

	/** Reads the newest registration of each agent. What has no registration any more was removed while the stream was not read. */
	async #readAll(signal: AbortSignal): Promise<void> {
		const {store, registrations} = this.#options;
		const {records, endOffset} = await store.readNewest(registrations, signal);
		for (const {key, value, offset} of records) {
			this.#applyRegistration(key, value, offset, signal);
		}

		const registered = new Set(records.map(({key}) => key));
		for (const host of [...this.workers.keys()].filter(known => !registered.has(known))) {
			this.#applyRemoval(host, endOffset);
		}

		this.#registryOffset = endOffset;
		this.#isRegistryRead = true;
	}

	/** Gets the loss that an owner has declared and stored, unless the agent has registered again since. */
	#restoreLoss(host: string, registrationOffset: number): AgentLoss | undefined {
		const {getStoredLoss, clock, note} = this.#options;
		const stored = getStoredLoss(host);
		if (!stored || stored.session < registrationOffset) {
			return undefined;
		}

		const {session, readAtMs} = stored;
		note('loss known', {host, session, storedAgoMs: Math.round(clock.monotonicMs() - readAtMs)});
		return {session, storedAtMs: readAtMs};
	}

	async #keepWatching(worker: FleetWorker, signal: AbortSignal): Promise<void> {
		const {clock, note} = this.#options;
		while (!signal.aborted && this.workers.get(worker.host) === worker) {
			try {
				await this.#poll(worker, signal);
			} catch (error) {
				if (signal.aborted) {
					return;
				}

				if (worker.unresponsiveSinceMs === undefined) {
					worker.unresponsiveSinceMs = clock.monotonicMs();
					note('agent silent', {host: worker.host, error: getMessage(error)});
				}

				await clock.sleep(retryMs, signal);
			}
		}
	}

	async #poll(worker: FleetWorker, signal: AbortSignal): Promise<void> {
		const {client, clock, epoch, onSuperseded, onReply, note} = this.#options;
		const workerId = worker.report?.workerId;
		const hasProof = workerId !== undefined && this.#options.getCaughtUpAtMs() >= worker.lastReplyAtMs && worker.loss?.session !== worker.session;
		const sentAtMs = clock.monotonicMs();
		const reply = await client.watch(worker.address, {
			epoch,
			agentLife: worker.agentLife,
			knownVersion: worker.version,
			waitMs: pollWaitMs,
			crashesStored: worker.storedCrash,
			storesUnlistedEnds: true,
			...(workerId !== undefined && {forget: {workerId, upTo: worker.storedEnd}}),
			...(hasProof && {proof: {workerId, clockMs: worker.workerClockMs, session: worker.session}}),
		}, pollWaitMs + pollSlackMs, signal);
		if (signal.aborted) {
			return;
		}

		if (reply.newerEpoch !== undefined) {
			onSuperseded(reply.newerEpoch);
			return;
		}

		// The agent may have been removed meanwhile; a new registration makes another worker for its host, which this answer is not about.
		if (this.workers.get(worker.host) !== worker) {
			return;
		}

		// A process that is still shutting down does not know of the runs that its successor starts.
		if (worker.replacedIncarnations.has(reply.agentLife)) {
			throw createError(ErrorCode.PeerUnavailable, {step: 'watch agent', peer: worker.host, detail: 'an earlier process of the agent answered'});
		}

		if (worker.unresponsiveSinceMs !== undefined || (reply.isAnswering && !worker.isAnswering)) {
			worker.unresponsiveSinceMs = undefined;
			restartStallDetection(worker, clock.monotonicMs());
			note('agent answers', {host: worker.host, session: reply.session, workerId: reply.worker?.workerId});
		}

		worker.lastReplyAtMs = clock.monotonicMs();
		worker.stateAsOfMs = sentAtMs;
		worker.workerClockMs = reply.workerClockMs;
		worker.session = Math.max(worker.session, reply.session);
		this.#applyState(worker, reply);
		worker.firstListings ??= reply.listings;
		worker.agentClock.addReading(reply.agentClockMs, {sentAtMs, handledAtMs: worker.lastReplyAtMs});
		const ageMs = worker.agentClock.estimate(worker.lastReplyAtMs) - reply.agentClockMs;
		if (ageMs > lateStateMs) {
			note('state late', {
				host: worker.host, ageMs: Math.round(ageMs), agentLife: reply.agentLife, version: reply.version, isOver: reply.isOver,
			});
		}

		onReply(worker, reply);
	}

	/** Applies what a state says of the agent and its worker. */
	#applyState(worker: FleetWorker, reply: WatchReply): void {
		if (reply.worker && reply.worker.workerId !== worker.report?.workerId) {
			worker.processedEnd = 0;
			worker.storedEnd = 0;
		}

		if (reply.agentLife !== worker.agentLife) {
			worker.replacedIncarnations.add(worker.agentLife);
			worker.processedCrash = 0;
			worker.storedCrash = 0;
			worker.agentClock = new PeerClock();
			worker.agentIncarnationSinceMs = worker.lastReplyAtMs;
			worker.firstListings = undefined;
			worker.sentInputs = reply.keepsInputs ? new WeakSet() : undefined;
		}

		if (reply.worker?.workerId !== worker.report?.workerId) {
			worker.firstListings = undefined;
		}

		if (reply.worker?.workerId !== worker.report?.workerId || reply.worker?.sequence !== worker.report?.sequence) {
			worker.reportedAtMs = this.#options.clock.monotonicMs();
		}

		worker.report = reply.worker;
		worker.isListed = reply.isListed;
		worker.areLeasesExpired = reply.isOver;
		worker.isAnswering = reply.isAnswering;
		worker.agentLife = reply.agentLife;
		worker.version = reply.version;
	}
}
