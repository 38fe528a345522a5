/**
Declares agents lost that do not answer, waits until their leases have expired, and then releases their tasks to start elsewhere.
*/
import {ControlRecordType, type ControlRecord} from '../agents/control-records.ts';
import {getLeaseExpiryMs} from '../agents/worker-lease.ts';
import {getMessage} from '../core/errors.ts';
import {type Clock} from '../types/clock.ts';
import {AppendOutcome} from '../types/store.ts';
import {type ControlWriter} from './control-writer.ts';
import {hasDeparted, type AgentLoss, type FleetWorker} from './fleet-view.ts';
import {type WorkflowFollower} from './follower.ts';
import {type RegistrationRemover} from './registration-remover.ts';
import {LossReason, type RunTracker} from './run-tracker.ts';
import {type ServiceFleets} from './service-fleets.ts';

/** Options of the monitor. */
export type AgentLossMonitorOptions = {
	clock: Clock;
	/** Appends to the control stream; a newer owner's claim fences it off. */
	control: ControlWriter;
	epoch: number;
	leaseDurationMs: number;
	fleets: ServiceFleets;
	tracker: RunTracker;
	remover: RegistrationRemover;
	signal: AbortSignal;
	/** There is a newer owner. */
	onFenced: () => void;
	/** Stores for later owners that the declaration of a loss is stored; resolves to whether it is. */
	storeLoss: (host: string, session: number) => Promise<boolean>;
	follower: WorkflowFollower;
	note: (event: string, fields: Record<string, unknown>) => void;
};

/**
An agent with active runs is declared lost after this time without an answer; runs survive shorter interruptions. So is one that
has not listed its runs yet, which tasks from before the claim wait for.
*/
const declareLostAfterMs = 4000;
/**
The same for an agent without active runs: it is removed, so that a later owner need not wait for it. Also for one that has not
listed its runs while the owner reaches few agents: the owner itself may be cut off or late, and a declaration ends the runs.
*/
const removedAfterMs = 8000;
const retryMs = 150;

/**
Whether all leases of the runs that an agent has not listed have expired. Its present process grants none before it has read the
worker's clock, and had not read it when it built the newest state. An older state says nothing: the agent may have read it since.
Once it has read the clock, its state says when they have expired; it takes no start before it has a list.
*/
export const haveUnlistedLeasesExpired = (worker: FleetWorker, leaseDurationMs: number): boolean => {
	const {isListed, areLeasesExpired, workerClockMs, stateAsOfMs, agentIncarnationSinceMs} = worker;
	return !isListed && (areLeasesExpired
		|| (workerClockMs === 0 && agentIncarnationSinceMs !== undefined && stateAsOfMs - agentIncarnationSinceMs > getLeaseExpiryMs(leaseDurationMs)));
};

/** Whether more than half of the agents have listed their runs. */
const isReachingMostAgents = (workers: ReadonlyMap<string, FleetWorker>): boolean => {
	let listed = 0;
	for (const worker of workers.values()) {
		listed += worker.isListed ? 1 : 0;
	}

	return 2 * listed > workers.size;
};

/** Detects the lost agents of one owner. */
export class AgentLossMonitor {
	readonly #options: AgentLossMonitorOptions;

	constructor(options: AgentLossMonitorOptions) {
		this.#options = options;
	}

	/** Checks all agents; to be called periodically. */
	check(): void {
		const {clock, fleets: {workers}, leaseDurationMs} = this.#options;
		const nowMs = clock.monotonicMs();
		const isReachingMost = isReachingMostAgents(workers);
		for (const worker of workers.values()) {
			if (hasDeparted(worker)) {
				this.#checkDeparture(worker, nowMs);
				continue;
			}

			const {unresponsiveSinceMs, loss, runs, isListed, session, firstSession} = worker;
			const boundMs = runs.size > 0 || (!isListed && isReachingMost) ? declareLostAfterMs : removedAfterMs;
			// A process that was started since, with leases from before, may have begun when the store had dropped the declaration.
			const isOutdated = loss?.storedAtMs !== undefined && session > loss.session && firstSession <= loss.session;
			if (unresponsiveSinceMs !== undefined && (loss ? isOutdated : nowMs - unresponsiveSinceMs >= boundMs)) {
				worker.loss = {session};
				void this.#declare(worker, worker.loss);
			} else if (loss?.storedAtMs !== undefined && nowMs - loss.storedAtMs > getLeaseExpiryMs(leaseDurationMs)) {
				this.#handleExpiredLeases(worker, loss, nowMs);
			}

			if (runs.size > 0 && haveUnlistedLeasesExpired(worker, leaseDurationMs)) {
				this.#handleUnlistedRuns(worker, nowMs);
			}
		}
	}

	/**
	Withdraws the loss of an agent that has registered again and answers: its runs are judged by what it lists. Leases of a restarted
	agent may not have expired; the declaration may still be stored, and then ends them.
	*/
	readmit(worker: FleetWorker): void {
		const {host, session, loss} = worker;
		if (loss && session > loss.session && !hasDeparted(worker)) {
			this.#options.note('agent back', {host, session, lostSession: loss.session});
			worker.loss = undefined;
		}
	}

	/**
	Handles the removal of an agent's registration: the agent removes it once its worker has ended, and an owner once all leases of a lost
	agent have expired.
	*/
	handleRemoval(worker: FleetWorker): void {
		const {tracker, clock} = this.#options;
		tracker.markAllLost(worker, LossReason.AgentGone, {nowMs: clock.monotonicMs(), evidence: {session: worker.session}});
	}

	/**
	Requests the removal of the registration of an agent that has stopped, once its leases have expired. A process that has been started since
	registers before it renews any: if the store takes the removal, there is none, and the removal is read as any other.
	*/
	#checkDeparture({host, departure}: FleetWorker, nowMs: number): void {
		if (departure && nowMs > departure.leasesExpireAtMs && !departure.isRemovalRequested) {
			departure.isRemovalRequested = true;
			this.#options.remover.remove(host, departure.session);
		}
	}

	/** Handles the expiry of a lost agent's leases. The agent may have registered again without having answered yet. */
	#handleExpiredLeases(worker: FleetWorker, loss: AgentLoss, nowMs: number): void {
		const {host, session} = worker;
		this.#options.tracker.markAllLost(worker, LossReason.AgentLost, {nowMs, evidence: {session, lostSession: loss.session, declaredAgoMs: Math.round(nowMs - loss.storedAtMs!)}});
		worker.haveOldLeasesExpired = true;
		if (session > loss.session) {
			worker.loss = undefined;
		} else if (worker.unresponsiveSinceMs !== undefined && this.#options.follower.fold.losses.get(host)?.session === loss.session) {
			// Read back by now: if the registration is read again, the loss is still known, and no proof is given.
			this.#options.fleets.remove(worker);
			this.#options.remover.remove(host, loss.session);
		}
	}

	/** Handles runs that the agent's present process has never listed. The agent answers, so it is not declared lost. */
	#handleUnlistedRuns(worker: FleetWorker, nowMs: number): void {
		const {agentLife, agentIncarnationSinceMs, stateAsOfMs} = worker;
		this.#options.tracker.markAllLost(worker, LossReason.LeasesExpired, {
			nowMs, evidence: {agentLife, incarnationAgoMs: Math.round(nowMs - agentIncarnationSinceMs!), stateAgeMs: Math.round(nowMs - stateAsOfMs)},
		});
	}

	/**
	Stores the declaration. The wait for the leases begins after that: the agent then either reads it or gets no new proof for its
	leases. The answer counts for this loss alone, which may have been withdrawn meanwhile.
	*/
	async #declare(worker: FleetWorker, loss: AgentLoss): Promise<void> {
		const {epoch, control, clock, note, signal, storeLoss, onFenced} = this.#options;
		const {host} = worker;
		const {session} = loss;
		note('agent lost', {host, session, runs: worker.runs.size});
		const record: ControlRecord = {
			type: ControlRecordType.Lost, host, session, epoch,
		};
		const declaredAtMs = clock.monotonicMs();
		while (!signal.aborted && worker.loss === loss) {
			try {
				const outcome = await control.append(record);
				if (outcome === AppendOutcome.Fenced) {
					onFenced();
					return;
				}

				if (outcome === AppendOutcome.Appended) {
					const storedAtMs = clock.monotonicMs();
					note('loss stored', {
						host, session, newestSession: worker.session, lostSession: worker.loss?.session, tookMs: Math.round(storedAtMs - declaredAtMs),
					});
					// A later owner must know of the loss before tasks start elsewhere: the agent may still list their runs.
					if (await storeLoss(host, session)) {
						loss.storedAtMs = storedAtMs;
					}

					return;
				}
			} catch (error) {
				note('loss not stored', {host, error: getMessage(error)});
			}

			await clock.sleep(retryMs, signal);
		}
	}
}
