/**
Reconciliation of a new owner: a task that an earlier owner may have started waits until every agent has listed its runs, or
its leases from before the claim have expired.

An agent that does not answer may still reach the store, and renews its leases by what it reads there. So the time since the claim
says nothing about them: the agent has to be declared lost, and its leases expire after that. One that answers without a list renews
none until it has one, but an earlier process of it may have done so until the first answer.
*/
import {type Clock} from '../types/clock.ts';
import {type AgentLinks} from './agent-links.ts';
import {haveUnlistedLeasesExpired} from './agent-loss-monitor.ts';
import {type FleetWorker} from './fleet-view.ts';

/** Options of the reconciliation. */
export type ReconciliationOptions = {
	clock: Clock;
	links: AgentLinks;
	leaseDurationMs: number;
	/** Describes the tasks that wait for the reconciliation, for the log. */
	describeHeldTasks: () => Record<string, unknown>;
	onReconciled: () => void;
	note: (event: string, fields: Record<string, unknown>) => void;
};

/** Gets how long ago each agent that has answered did so last, by host. */
const getStateAgesMs = (workers: Iterable<FleetWorker>, nowMs: number): Record<string, number> => Object.fromEntries([...workers]
	.filter(({lastReplyAtMs}) => lastReplyAtMs !== Number.NEGATIVE_INFINITY)
	.map(({host, lastReplyAtMs}) => [host, Math.round(nowMs - lastReplyAtMs)]));

/** Interval of the log line on the agents that are waited for. */
const logIntervalMs = 1000;
/** Agents that the line describes. */
const maxLoggedAgents = 5;

/** Describes what is known of an agent that is waited for, and for how long it has been so. */
const describeMissing = ({host, session, agentLife, report, unresponsiveSinceMs, stateAsOfMs, loss}: FleetWorker, nowMs: number): Record<string, unknown> => ({
	host,
	session,
	hasAnswered: agentLife !== '',
	hasWorker: report !== undefined,
	silentMs: unresponsiveSinceMs === undefined ? undefined : Math.round(nowMs - unresponsiveSinceMs),
	stateAgeMs: agentLife === '' ? undefined : Math.round(nowMs - stateAsOfMs),
	lostSession: loss?.session,
	lossStoredAgoMs: loss?.storedAtMs === undefined ? undefined : Math.round(nowMs - loss.storedAtMs),
});

/** Reconciliation of one owner. */
export class Reconciliation {
	readonly #options: ReconciliationOptions;
	/** For how long each agent was waited for, by host. */
	readonly #waitedMs = new Map<string, number>();
	#claimedAtMs = Number.POSITIVE_INFINITY;
	#loggedAtMs = Number.NEGATIVE_INFINITY;
	#reconciledAtMs: number | undefined;

	constructor(options: ReconciliationOptions) {
		this.#options = options;
	}

	/** Whether tasks of jobs from before the claim may be started. */
	get isReconciled(): boolean {
		return this.#reconciledAtMs !== undefined;
	}

	/** When the reconciliation was complete; undefined: it is not. */
	get reconciledAtMs(): number | undefined {
		return this.#reconciledAtMs;
	}

	/** Starts the reconciliation, once the claim is stored. */
	start(): void {
		this.#claimedAtMs = this.#options.clock.monotonicMs();
		this.#loggedAtMs = this.#claimedAtMs;
	}

	/** Checks the agents; to be called periodically. */
	check(): void {
		const {clock, links, leaseDurationMs, note, onReconciled} = this.#options;
		if (this.isReconciled || !links.isRegistryRead) {
			return;
		}

		const nowMs = clock.monotonicMs();
		const tookMs = nowMs - this.#claimedAtMs;
		const missing = [...links.workers.values()].filter(worker => !worker.isListed && !worker.haveOldLeasesExpired);
		for (const {host} of missing) {
			this.#waitedMs.set(host, Math.round(tookMs));
		}

		if (missing.every(worker => haveUnlistedLeasesExpired(worker, leaseDurationMs))) {
			this.#reconciledAtMs = nowMs;
			note('settled', {
				tookMs: Math.round(tookMs), agents: links.workers.size, missing: missing.map(worker => worker.host), waitedMs: Object.fromEntries(this.#waitedMs), stateAgesMs: getStateAgesMs(links.workers.values(), nowMs),
			});
			onReconciled();
		} else if (nowMs - this.#loggedAtMs >= logIntervalMs) {
			this.#loggedAtMs = nowMs;
			this.#noteWait(missing, nowMs);
		}
	}

	#noteWait(missing: FleetWorker[], nowMs: number): void {
		const {note, describeHeldTasks} = this.#options;
		note('reconciliation waits', {
			tookMs: Math.round(nowMs - this.#claimedAtMs), agents: missing.length, missing: missing.slice(0, maxLoggedAgents).map(worker => describeMissing(worker, nowMs)), ...describeHeldTasks(),
		});
	}
}
