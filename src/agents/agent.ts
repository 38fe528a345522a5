/**
An agent: the process beside one worker, and the only one that calls it. It registers itself, holds the worker's leases
as far as they are proven, and carries out what the owner of the service orders.
*/
import {Buffer} from 'node:buffer';
import {getMessage} from '../core/errors.ts';
import {type Clock} from '../types/clock.ts';
import {
	type AgentRegistration, type OrdersReply, type OrdersRequest, type WatchReply, type WatchRequest, type WorkerClient, type WorkerReport,
} from '../types/fleet.ts';
import {AppendOutcome, type PartitionRef, type StoreClient} from '../types/store.ts';
import {Wakeup} from '../utils/wakeup.ts';
import {AgentState} from './agent-state.ts';
import {agentsTopic, controlTopic} from './control-records.ts';
import {ControlWatch} from './control-watch.ts';
import {OrderHandler, type AgentNote} from './order-handler.ts';
import {runWorkerLoop} from './worker-loop.ts';

/** Options of an agent. */
export type AgentOptions = {
	registration: AgentRegistration;
	/** Partition of the service's control stream. */
	partition: number;
	store: StoreClient;
	client: WorkerClient;
	clock: Clock;
	/** New with each start of the process. */
	life: string;
	leaseHorizonMs: number;
	maxLeaseMs: number;
	note: AgentNote;
};

const registerTimeoutMs = 1000;
const registerRetryMs = 200;
/** Raised by this when the worker has seen a higher fence: the wall clock was set back since the last life. */
const fenceStepMs = 3_600_000;

/** The agent. */
export class Agent {
	readonly state: AgentState;
	readonly #options: AgentOptions;
	readonly #control: ControlWatch;
	readonly #orders: OrderHandler;
	readonly #wakeup = new Wakeup();
	readonly #loopOptions: Parameters<typeof runWorkerLoop>[0];
	/**
	The worker refuses orders with a lower fence than it has seen. Wall time rises with each life of the agent, so orders
	of an earlier life that are carried out late change nothing.
	*/
	#fence: number;
	#isRegistered = false;
	#registrations = 0;
	#hasLeft = false;
	/** Declarations about earlier registrations were waited out already. */
	#lossFloor = 0;
	#isStoreReached: boolean | undefined;

	constructor(options: AgentOptions) {
		const {clock, store, client, note, registration, partition} = options;
		this.#options = options;
		this.state = new AgentState(options.life, options.leaseHorizonMs);
		this.#fence = clock.now().getTime();
		this.#control = new ControlWatch({
			store,
			clock,
			ref: {topic: controlTopic, partition},
			host: registration.host,
			onReadSent: () => this.#dateProof(),
			onLost: session => {
				this.#takeLoss(session);
			},
			onStoreState: (isReached, detail) => {
				this.#noteStore(isReached, detail);
			},
			onInvalid(detail) {
				note('control record not valid', {detail});
			},
		});
		const shared = {
			state: this.state, client, clock, note, getFence: () => this.#fence, onFenceRefused: () => {
				this.#fence += fenceStepMs;
				note('fence raised', {fence: this.#fence});
			},
		};
		this.#orders = new OrderHandler({
			...shared, control: this.#control, wake: () => {
				this.#wakeup.wake();
			},
		});
		this.#loopOptions = {
			...shared, wakeup: this.#wakeup, maxLeaseMs: options.maxLeaseMs, onLapsed: () => {
				note('lapsed', {session: this.state.session});
				this.#isRegistered = false;
			},
		};
	}

	/** Takes an announcement of the worker. */
	announce(report: WorkerReport): void {
		const before = this.state.worker?.report;
		if (this.state.announce(report, this.#options.clock.monotonicMs())) {
			this.#hasLeft = false;
			this.#options.note('worker came', {
				workerId: report.workerId, before: before?.workerId, milliCpu: report.milliCpu, memoryMb: report.memoryMb, labels: report.labels,
			});
			this.#wakeup.wake();
		} else if (before?.workerId === report.workerId && !before.isDraining && report.isDraining) {
			this.#options.note('worker drains', {workerId: report.workerId, remainingMs: report.remainingMs});
		}
	}

	/** The worker ends. */
	workerLeft(workerId: string): void {
		this.#options.note('worker left', {workerId});
		this.#hasLeft = true;
		this.state.drop(workerId, this.#options.clock.monotonicMs());
	}

	async order(request: OrdersRequest): Promise<OrdersReply> {
		return this.#orders.order(request);
	}

	async watch(request: WatchRequest, signal: AbortSignal): Promise<WatchReply> {
		return this.#orders.watch(request, signal);
	}

	/**
	Ends in good order. An agent whose worker has left is not coming back: without its registration, a later owner need
	not wait for its leases. One that is only restarted keeps it.
	*/
	async leave(): Promise<void> {
		if (this.state.worker === undefined && this.#hasLeft) {
			await this.#removeRegistration();
		}
	}

	/** Runs until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await Promise.all([
			runWorkerLoop(this.#loopOptions, signal),
			this.#follow(signal),
		]);
	}

	/** A proof is dated before its read is sent, by the worker's clock. */
	#dateProof(): (() => void) | undefined {
		const {worker} = this.state;
		const clockMs = worker?.lease.estimate(this.#options.clock.monotonicMs());
		if (!worker || clockMs === undefined) {
			return undefined;
		}

		return () => {
			if (worker.lapseUntilMs === undefined && !this.state.mustLapse) {
				worker.lease.prove(clockMs);
			}
		};
	}

	/**
	Declared lost: the owner waits out the leases and then starts the tasks elsewhere. Nothing is prolonged until they are
	over, also by a new life of the agent that finds the declaration made for its predecessor.
	*/
	#takeLoss(session: number): void {
		if (session >= this.#lossFloor) {
			this.#options.note('declared lost', {session});
			this.state.mustLapse = true;
			this.#wakeup.wake();
		}
	}

	async #follow(signal: AbortSignal): Promise<void> {
		const before = await this.#findRegistration(signal);
		await this.#register(signal);
		this.#lossFloor = before ?? this.state.session;
		await Promise.all([this.#control.run(signal), this.#keepRegistered(signal)]);
	}

	/** Offset of the registration of the life before; none: its leases are over, or there was none. */
	async #findRegistration(signal: AbortSignal): Promise<number | undefined> {
		const {store, clock, registration, note} = this.#options;
		while (!signal.aborted) {
			try {
				const {records} = await store.newest({topic: agentsTopic, partition: 0}, signal);
				return records.find(({key}) => key === registration.host)?.offset;
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
			if (!this.#isRegistered) {
				await this.#register(signal);
				this.#lossFloor = this.state.session;
			}

			await clock.sleep(registerRetryMs, signal);
		}
	}

	async #register(signal: AbortSignal): Promise<void> {
		const {store, registration, life, clock, note} = this.#options;
		const stamp = {producer: `agent-${registration.host}-${life}`, epoch: 1, sequence: this.#registrations};
		const ref: PartitionRef = {topic: agentsTopic, partition: 0};
		while (!signal.aborted) {
			try {
				const result = await store.appendKeyed(ref, [{key: registration.host, value: Buffer.from(JSON.stringify(registration))}], {
					stamp, timeoutMs: registerTimeoutMs,
				});
				if (result.outcome === AppendOutcome.Appended) {
					this.#registrations++;
					this.#isRegistered = true;
					this.state.session = result.offset;
					this.state.bump();
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

	async #removeRegistration(): Promise<void> {
		const {store, registration, life, note} = this.#options;
		try {
			const {outcome} = await store.appendKeyed({topic: agentsTopic, partition: 0}, [{key: registration.host}], {
				stamp: {producer: `agent-${registration.host}-${life}`, epoch: 1, sequence: this.#registrations}, timeoutMs: registerTimeoutMs,
			});
			note('registration removed', {outcome});
		} catch (error) {
			note('registration not removed', {error: getMessage(error)});
		}
	}

	#noteStore(isReached: boolean, detail: string): void {
		if (isReached !== this.#isStoreReached) {
			this.#isStoreReached = isReached;
			this.#options.note(isReached ? 'store reached' : 'store lost', {detail});
		}
	}
}
