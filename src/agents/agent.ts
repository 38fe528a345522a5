/**
An agent: the process on a worker's host that makes all calls to that worker. It registers itself in the store, renews the
worker's leases while it has proof that it was not declared lost, and carries out the orders of the service's owner.
*/
import {type Buffer} from 'node:buffer';
import {getMessage} from '../core/errors.ts';
import {type Clock} from '../types/clock.ts';
import {
	type AgentRegistration, type OrdersReply, type OrdersRequest, type WatchReply, type WatchRequest, type WorkerClient, type WorkerReport,
} from '../types/fleet.ts';
import {AppendOutcome, type StoreClient} from '../types/store.ts';
import {Wakeup} from '../utils/wakeup.ts';
import {AgentState} from './agent-state.ts';
import {controlTopic, encodeRegistration, getFirstSession} from './control-records.ts';
import {ControlWatch} from './control-watch.ts';
import {OrderHandler, type AgentLogEvent} from './order-handler.ts';
import {registrationsRef, tryWriteRegistrations} from './registration-writes.ts';
import {runWorkerLoop} from './worker-loop.ts';

/** Options of an agent. */
export type AgentOptions = {
	registration: AgentRegistration;
	/** Partition of the service's control stream. */
	partition: number;
	store: StoreClient;
	client: WorkerClient;
	clock: Clock;
	/** Identifies this start of the agent process. */
	life: string;
	leaseDurationMs: number;
	maxLeaseMs: number;
	note: AgentLogEvent;
};

const registerTimeoutMs = 1000;
/** How long an agent that is told to stop waits for the end of a worker that has announced it. */
const maxWorkerEndMs = 1000;
const workerEndCheckMs = 20;
/** Shorter than the time that a process has to stop. */
const maxRemovalMs = 4000;
/** A stopping agent renews no leases, so it does not wait longer for a store that is away: it may be restarted. */
const maxDepartureMs = 1000;
const registerRetryMs = 200;
/** Pause before such a write is tried again: it fails while other agents register at the same time. */
const writeRetryMs = 50;
/** Owners read the registrations of all agents at each takeover. */
const maxRegistrationBytes = 65_536;
/** The fencing token is raised by this when the worker has seen a higher one: the wall clock was set back between two starts of the agent. */
const fenceIncrementMs = 3_600_000;
/**
A worker that refuses the token of this process after it has accepted it has seen the token of a newer process. This process raises its own only if it
still runs after this time, which is longer than most shutdowns and shorter than a lease.
*/
const successorWaitMs = 3000;

/** The agent. */
export class Agent {
	readonly state: AgentState;
	readonly #options: AgentOptions;
	readonly #control: ControlWatch;
	readonly #orders: OrderHandler;
	readonly #wakeup = new Wakeup();
	readonly #loopOptions: Parameters<typeof runWorkerLoop>[0];
	/**
	Fencing token: the worker refuses orders with a lower one than it has seen. It starts as the wall time, which increases with
	each start of the agent, so that delayed orders of an earlier agent process are refused.
	*/
	#fence: number;
	#registrations = 0;
	/** How often all leases have expired after a declaration of loss or a gap. */
	#lapses = 0;
	/** Offset of the first registration whose leases may not have expired, as stored with the present one; undefined: the present one. */
	#firstSession: number | undefined;
	/** Loss declarations about registrations before this offset are ignored: their leases have already expired. */
	#minLostSession = 0;
	#isStoreReached: boolean | undefined;

	constructor(options: AgentOptions) {
		const {clock, store, client, note, registration, partition} = options;
		this.#options = options;
		this.state = new AgentState(options.life, {startedAtMs: clock.monotonicMs(), leaseMs: options.leaseDurationMs, maxLeaseMs: options.maxLeaseMs});
		this.#fence = clock.now().getTime();
		this.#control = new ControlWatch({
			store,
			clock,
			ref: {topic: controlTopic, partition},
			host: registration.host,
			prepareProof: () => this.#prepareProof(),
			onLost: session => {
				this.#handleLoss(session);
			},
			onGap: () => {
				this.#handleGap();
			},
			onStoreState: (isReached, detail) => {
				this.#logStoreState(isReached, detail);
			},
			onNewerEpoch(epoch, before, source) {
				note('newer owner', {epoch, before, source});
			},
			onInvalid(detail) {
				note('control record not valid', {detail});
			},
		});
		const shared = {
			state: this.state, client, clock, note, getFence: () => this.#fence, onFenceRefused: () => {
				this.#raiseFence();
			},
		};
		this.#orders = new OrderHandler({
			...shared, control: this.#control, wake: () => {
				this.#wakeup.wake();
			},
		});
		this.#loopOptions = {
			...shared, raiseFence: () => {
				this.#fence++;
			}, wakeup: this.#wakeup, maxLeaseMs: options.maxLeaseMs, onLeasesExpired: () => {
				note('lapsed', {session: this.state.session});
				this.state.isRegistered = false;
				this.#lapses++;
			},
		};
	}

	/** Handles an announcement of the worker. */
	handleAnnouncement(report: WorkerReport): void {
		const previous = this.state.worker?.report;
		if (this.state.applyAnnouncement(report, this.#options.clock.monotonicMs())) {
			this.#options.note('worker came', {
				workerId: report.workerId, before: previous?.workerId, milliCpu: report.milliCpu, memoryMb: report.memoryMb, labels: report.labels,
			});
			this.#wakeup.wake();
		} else if (previous?.workerId === report.workerId && !previous.isDraining && report.isDraining) {
			this.#options.note('worker drains', {workerId: report.workerId, remainingMs: report.remainingMs});
		}
	}

	/** Handles the worker's message that it ends. */
	handleWorkerLeave(workerId: string): void {
		this.#options.note('worker left', {workerId});
		this.state.recordLeave(workerId, this.#options.clock.monotonicMs());
		this.#wakeup.wake();
	}

	async order(request: OrdersRequest): Promise<OrdersReply> {
		return this.#orders.order(request);
	}

	async watch(request: WatchRequest, signal: AbortSignal): Promise<WatchReply> {
		return this.#orders.watch(request, signal);
	}

	/**
	Tells owners at shutdown, which cannot ask this agent any more. If nothing can run on its host, its registration is removed. Otherwise
	it says in its registration what runs and until when leases may last: its host may go for good, or a restarted agent goes on.
	*/
	async leave(): Promise<void> {
		const {state} = this;
		state.isLeaving = true;
		await this.#waitForWorkerEnd();
		const {clock} = this.#options;
		if (state.isVacant(clock.monotonicMs())) {
			await this.#writeRegistration('registration removed', () => undefined, maxRemovalMs);
		} else if (state.isRegistered) {
			await Promise.race([this.#writeRegistration('departure stored', () => this.#createDeparture(), maxDepartureMs), clock.sleep(maxDepartureMs)]);
		}
	}

	/** Runs until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await Promise.all([
			runWorkerLoop(this.#loopOptions, signal),
			this.#runControl(signal),
		]);
	}

	/** Raises the fencing token after a refusal, unless another process has replaced this one since the last listing. */
	#raiseFence(): void {
		const {clock, note} = this.#options;
		const {listedAtMs} = this.state;
		if (listedAtMs === undefined || clock.monotonicMs() - listedAtMs > successorWaitMs) {
			this.#fence += fenceIncrementMs;
			note('fence raised', {fence: this.#fence});
		}
	}

	/** Called before a read is sent: uses the worker's clock as the time of the proof, and returns a function that applies the proof. */
	#prepareProof(): (() => void) | undefined {
		const {worker} = this.state;
		const clockMs = worker?.lease.estimateClockMs(this.#options.clock.monotonicMs());
		if (!worker || clockMs === undefined) {
			return undefined;
		}

		return () => {
			if (worker.allLeasesExpiredAtMs === undefined && !this.state.mustLetLeasesExpire) {
				worker.lease.extendByProof(clockMs);
			}
		};
	}

	/**
	Handles a declaration that this agent is lost: the owner waits until the leases have expired, then starts the tasks
	elsewhere. The agent renews no lease until then, also when it was restarted and the declaration is about the previous process.
	*/
	#handleLoss(session: number): void {
		if (session >= this.#minLostSession) {
			this.#options.note('declared lost', {session});
			this.state.mustLetLeasesExpire = true;
			this.#wakeup.wake();
		}
	}

	/** Handles a gap in the control records as a loss: the agent registers again once its leases have expired. */
	#handleGap(): void {
		this.#options.note('control records missed', {session: this.state.session});
		this.state.mustLetLeasesExpire = true;
		this.#wakeup.wake();
	}

	async #runControl(signal: AbortSignal): Promise<void> {
		const firstSession = await this.#findFirstSession(signal);
		this.state.isFirstProcess = firstSession === undefined;
		await this.#register(signal, firstSession);
		this.#minLostSession = firstSession ?? this.state.session;
		await Promise.all([this.#control.run(signal), this.#keepRegistered(signal)]);
	}

	/**
	Gets the offset of the first registration whose leases may not have expired; undefined: there is none. It may be older than the
	previous process's, which may have ended before the leases that it found had expired.
	*/
	async #findFirstSession(signal: AbortSignal): Promise<number | undefined> {
		const {store, clock, registration, note} = this.#options;
		while (!signal.aborted) {
			try {
				const {records} = await store.readNewest(registrationsRef, signal);
				const previous = records.find(({key}) => key === registration.host);
				return previous?.value && getFirstSession(previous.value, previous.offset);
			} catch (error) {
				note('registration not read', {error: getMessage(error)});
				await clock.sleep(registerRetryMs, signal);
			}
		}

		return undefined;
	}

	async #keepRegistered(signal: AbortSignal): Promise<void> {
		const {clock} = this.#options;
		while (!signal.aborted) {
			if (!this.state.isRegistered && !this.state.isLeaving) {
				await this.#register(signal);
				this.#minLostSession = this.state.session;
			}

			await clock.sleep(registerRetryMs, signal);
		}
	}

	async #register(signal: AbortSignal, firstSession?: number): Promise<void> {
		const {store, registration, life, clock, note} = this.#options;
		const stamp = {producer: `agent-${registration.host}-${life}`, epoch: 1, sequence: this.#registrations};
		const lapsesBefore = this.#lapses;
		while (!signal.aborted) {
			try {
				const result = await store.appendKeyed(registrationsRef, [{key: registration.host, value: encodeRegistration({...registration, firstSession})}], {
					stamp, timeoutMs: registerTimeoutMs,
				});
				if (result.outcome === AppendOutcome.Appended) {
					this.#registrations++;
					this.#firstSession = firstSession;
					// An owner may have read the registration and declared it lost before its answer came.
					this.state.isRegistered = this.#lapses === lapsesBefore;
					this.state.session = result.offset;
					this.state.notifyChange();
					note('registered', {session: result.offset});
					return;
				}

				note('registration refused', {outcome: result.outcome});
			} catch (error) {
				note('registration unanswered', {error: getMessage(error)});
			}

			await clock.sleep(registerRetryMs, signal);
		}
	}

	/** A worker that has said that it ends may take some more ms until it no longer listens. */
	async #waitForWorkerEnd(): Promise<void> {
		const {clock} = this.#options;
		const untilMs = clock.monotonicMs() + maxWorkerEndMs;
		while (this.state.worker?.hasLeft && clock.monotonicMs() < untilMs) {
			await clock.sleep(workerEndCheckMs);
		}
	}

	/** Replaces or removes the registration if it is still this process's; tries again until then, as the store may be away for a moment. */
	async #writeRegistration(event: string, createValue: () => Buffer | undefined, forMs: number): Promise<void> {
		const {store, clock, registration: {host}, note} = this.#options;
		const untilMs = clock.monotonicMs() + forMs;
		while (clock.monotonicMs() < untilMs) {
			try {
				const {outcome} = await tryWriteRegistrations(store, new Map([[host, this.state.session]]), createValue);
				if (outcome === undefined) {
					return;
				}

				note(event, {outcome});
				if (outcome === AppendOutcome.Appended) {
					return;
				}
			} catch (error) {
				note('registration not changed', {error: getMessage(error)});
			}

			await clock.sleep(writeRetryMs);
		}
	}

	/** Creates the registration with what owners need to know of the runs on a worker whose agent has stopped. */
	#createDeparture(): Buffer {
		const {registration, clock, leaseDurationMs} = this.#options;
		const {state} = this;
		const leaseMs = state.worker?.lease.getRemainingMs(clock.monotonicMs()) ?? leaseDurationMs;
		const departing = {...registration, firstSession: this.#firstSession ?? state.session};
		const value = encodeRegistration({...departing, departure: {leaseMs, state: this.#orders.describeState()}});
		return value.length <= maxRegistrationBytes ? value : encodeRegistration({...departing, departure: {leaseMs}});
	}

	#logStoreState(isReached: boolean, detail: string): void {
		if (isReached !== this.#isStoreReached) {
			this.#isStoreReached = isReached;
			this.#options.note(isReached ? 'store reached' : 'store lost', {detail});
		}
	}
}
