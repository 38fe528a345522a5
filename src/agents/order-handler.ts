/**
Carries out the orders of a service's owner on the worker of this host, and answers the owner's watch requests.

Orders from an owner with an old epoch, orders past their time limit, and orders for another incarnation of the worker are
refused, so that a paused owner, or messages delayed by a network partition, cannot start anything.
*/
import {getMessage} from '../core/errors.ts';
import {type Clock} from '../types/clock.ts';
import {
	isWithin, OrderRefusal, OrderType, type Order, type OrdersReply, type OrdersRequest, type WatchReply, type WatchRequest, type WorkerAnswer, type OrderedStart, type WorkerClient,
} from '../types/fleet.ts';
import {type AgentState, type WorkerState} from './agent-state.ts';
import {EpochSource, type ControlWatch} from './control-watch.ts';
import {JobInputs} from './job-inputs.ts';

/** Logs an event. */
export type AgentLogEvent = (event: string, fields: Record<string, unknown>) => void;

/** Options of the handler. */
export type OrderHandlerOptions = {
	state: AgentState;
	control: ControlWatch;
	client: WorkerClient;
	clock: Clock;
	getFence: () => number;
	onFenceRefused: () => void;
	/** Wakes the loop that renews leases and lists the worker's runs. */
	wake: () => void;
	note: AgentLogEvent;
};

/**
The worker refuses a start as too late after this: an order without an answer may reach it seconds later, and must then
start nothing. Workers answer within a few ms; on slow hosts within some 100 ms.
*/
const startValidityMs = 1500;
/** With less than this left of the lease, the worker would kill the task before the next renewal. */
const minRemainingLeaseMs = 400;

/** The handler. */
export class OrderHandler {
	readonly #options: OrderHandlerOptions;
	readonly #inputs = new JobInputs();

	constructor(options: OrderHandlerOptions) {
		this.#options = options;
	}

	/** Carries out all orders of a request concurrently. */
	async order(request: OrdersRequest): Promise<OrdersReply> {
		const {state, clock} = this.#options;
		const receivedAtMs = clock.monotonicMs();
		// Kept also if the orders are refused: the owner leaves out what this agent has received.
		for (const order of request.orders) {
			if (order.type === OrderType.Start) {
				this.#inputs.keep(order.start);
			}
		}

		const refusal = this.#getRefusal(request);
		const answers = refusal === undefined
			? await Promise.all(request.orders.map(async order => this.#carryOut(order, state.worker!, request)))
			: request.orders.map((): WorkerAnswer => ({isDone: false, refusal}));
		if (refusal !== undefined) {
			this.#options.note('orders refused', {
				refusal, lateMs: refusal === OrderRefusal.Expired ? Math.round(clock.monotonicMs() - request.notAfterMs) : undefined, epoch: request.epoch, newestEpoch: this.#options.control.epoch, workerId: request.workerId, orders: request.orders.length,
			});
		}

		return {answers, version: state.version, receivedAtMs};
	}

	/** Answers when the version differs from the one the owner knows, when there are new measurements, or after the wait. */
	async watch(request: WatchRequest, signal: AbortSignal): Promise<WatchReply> {
		const {state, control, clock} = this.#options;
		if (!control.observeEpoch(request.epoch, EpochSource.Owner)) {
			return {...this.#describe(request), newerEpoch: control.epoch};
		}

		this.#applyProof(request);
		this.#dropStored(request);
		if (request.agentLife === state.life && request.knownVersion === state.version && request.waitMs > 0) {
			const aborter = new AbortController();
			const unsubscribe = state.onChange(() => {
				aborter.abort();
			});
			await clock.sleep(request.waitMs, AbortSignal.any([aborter.signal, signal]));
			unsubscribe();
		}

		return this.#describe(request);
	}

	/** Describes the state, with all that is known of the worker's runs. */
	describeState(): WatchReply {
		return this.#describe({storesUnlistedEnds: true});
	}

	#getRefusal({epoch, agentLife, notAfterMs, workerId}: OrdersRequest): OrderRefusal | undefined {
		const {state, control, clock} = this.#options;
		if (!control.observeEpoch(epoch, EpochSource.Owner)) {
			return OrderRefusal.StaleEpoch;
		}

		if (agentLife !== state.life) {
			return OrderRefusal.OtherAgentIncarnation;
		}

		if (clock.monotonicMs() > notAfterMs) {
			return OrderRefusal.Expired;
		}

		return state.worker?.report.workerId === workerId ? undefined : OrderRefusal.OtherWorkerIncarnation;
	}

	async #carryOut(order: Order, worker: WorkerState, request: OrdersRequest): Promise<WorkerAnswer> {
		const {client, getFence, note} = this.#options;
		const {capacity, epoch} = request;
		const {workerId} = worker.report;
		try {
			switch (order.type) {
				case OrderType.Start: {
					if (capacity && !isWithin(capacity, worker.report)) {
						return {isDone: false, refusal: OrderRefusal.CapacityReduced};
					}

					return await this.#start(order.start, worker, request);
				}

				case OrderType.Stop: {
					const answer = await client.stop(workerId, order, getFence());
					this.#options.wake();
					note('stop answered', {
						taskId: order.taskId, run: order.run, epoch, isDone: answer.isDone, refusal: answer.refusal,
					});
					return this.#checkFence(answer);
				}

				case OrderType.Throttle: {
					return this.#checkFence(await client.throttle(workerId, order, getFence()));
				}
			}
		} catch (error) {
			const {taskId, run} = order.type === OrderType.Start ? order.start : order;
			note('order unanswered', {
				order: order.type, taskId, run, epoch, error: getMessage(error),
			});
			return {isDone: false, refusal: OrderRefusal.Unanswered};
		}
	}

	async #start(order: OrderedStart, worker: WorkerState, {epoch, session}: OrdersRequest): Promise<WorkerAnswer> {
		const {client, clock, control, getFence, state, note} = this.#options;
		const {lease, report, runs, allLeasesExpiredAtMs} = worker;
		const clockMs = lease.estimateClockMs(clock.monotonicMs());
		const jobStart = this.#inputs.complete(order);
		if (!jobStart) {
			return {isDone: false, refusal: OrderRefusal.InputUnknown};
		}

		const {service, ...start} = jobStart;
		if (service !== undefined && service !== report.service) {
			note('start of another service', {
				taskId: start.taskId, run: start.run, epoch, service, ownService: report.service,
			});
			return {isDone: false, refusal: OrderRefusal.OtherService};
		}

		if (report.isDraining || worker.hasLeft) {
			return {isDone: false, refusal: OrderRefusal.Draining};
		}

		// An owner without access to the store may not know of the evacuation.
		if (control.isEvacuated(report.failureDomain)) {
			return {isDone: false, refusal: OrderRefusal.Evacuated};
		}

		// Each start sent to a worker that does not answer would postpone the time at which its leases are known to have expired.
		// Once they have, the state says that nothing runs there, until the worker has listed its runs again.
		if (!worker.isAnswering || worker.areLeasesExpired) {
			return {isDone: false, refusal: OrderRefusal.Unhealthy};
		}

		// Without the newest claim, the agent may be taking orders from an owner that was replaced. Without a registration the next owner does not
		// know the agent, and an owner that does not know the newest one would declare another lost, which the agent ignores.
		const isKnown = !state.isLeaving && control.isCaughtUp && state.isRegistered && (session === undefined || session >= state.session) && runs.isListed;
		const mustLetLeasesExpire = state.mustLetLeasesExpire || allLeasesExpiredAtMs !== undefined;
		if (!isKnown || mustLetLeasesExpire || clockMs === undefined || lease.leaseUntilMs < clockMs + minRemainingLeaseMs) {
			return {isDone: false, refusal: OrderRefusal.NoLease};
		}

		const leaseUntilMs = Math.floor(Math.min(lease.leaseUntilMs, clockMs + startValidityMs));
		lease.recordSent(leaseUntilMs);
		runs.recordStartSent(start.taskId, start.run, {validUntilMs: leaseUntilMs, nowMs: clock.monotonicMs()});
		try {
			const answer = await client.start(report.workerId, start, {fence: getFence(), leaseUntilMs});
			worker.answeredAtMs = clock.monotonicMs();
			runs.recordStartAnswer(start.taskId, start.run, answer.isDone, clock.monotonicMs());
			// The owner learns of the start from this answer: waking its watch too would double the messages of a large service.
			state.incrementVersion();
			note('start answered', {
				taskId: start.taskId, run: start.run, epoch, isStarted: answer.isDone, refusal: answer.refusal, version: state.version, leaseUntilMs,
			});
			return this.#checkFence(answer);
		} catch (error) {
			runs.recordStartUnanswered(start.taskId, start.run);
			state.notifyChange();
			throw error;
		}
	}

	#checkFence(answer: WorkerAnswer): WorkerAnswer {
		if (answer.refusal === OrderRefusal.StaleFence) {
			this.#options.onFenceRefused();
		}

		return answer;
	}

	#applyProof({proof}: WatchRequest): void {
		const {worker, session, mustLetLeasesExpire} = this.#options.state;
		if (!proof || !worker || mustLetLeasesExpire || worker.allLeasesExpiredAtMs !== undefined) {
			return;
		}

		if (proof.workerId === worker.report.workerId && proof.session === session) {
			worker.lease.extendByProof(proof.clockMs);
		}
	}

	#dropStored({forget, agentLife, crashesStored}: WatchRequest): void {
		const {state} = this.#options;
		const {worker} = state;
		if (agentLife === state.life) {
			state.dropStoredCrashes(crashesStored);
		}

		if (!forget || !worker) {
			return;
		}

		if (forget.workerId === worker.report.workerId && forget.upTo > worker.forgetUpTo) {
			worker.forgetUpTo = forget.upTo;
			this.#options.wake();
		}
	}

	/** Whether all runs are known. An owner of the previous version stores ends only with a list, and takes an agent without one for one that renews no leases. */
	#areRunsKnown({storesUnlistedEnds}: Pick<WatchRequest, 'storesUnlistedEnds'>): boolean {
		const {state, clock} = this.#options;
		const {worker} = state;
		return state.isVacant(clock.monotonicMs()) || ((storesUnlistedEnds ? worker?.runs.isListed : worker?.runs.hasListing) ?? false);
	}

	#describe(request: Pick<WatchRequest, 'storesUnlistedEnds'>): WatchReply {
		const {state, clock} = this.#options;
		const {worker} = state;
		state.lastReportedAtMs = clock.monotonicMs();
		return {
			agentLife: state.life,
			session: state.session,
			version: state.version,
			agentClockMs: clock.monotonicMs(),
			worker: worker?.report,
			workerClockMs: worker?.lease.sampleClockMs ?? 0,
			leaseUntilMs: worker?.lease.leaseUntilMs ?? 0,
			isListed: this.#areRunsKnown(request),
			isAnswering: worker?.isAnswering ?? false,
			isOver: state.areLeasesExpired(clock.monotonicMs()),
			running: worker?.runs.running ?? [],
			ended: worker ? worker.runs.ended.filter(row => row.number > worker.forgetUpTo) : [],
			starting: worker?.runs.starting ?? [],
			crashed: [...state.crashed],
			goneWorkerIds: state.goneWorkerIds,
			keepsInputs: true,
			listings: worker?.runs.listings,
		};
	}
}
