/**
Reconciliation of a new owner: a task that an earlier owner may have started waits until every agent has listed its runs, or
all leases from before the claim have expired.
*/
import {type Clock} from '../types/clock.ts';
import {type AgentLinks} from './agent-links.ts';
import {getLeaseOverMs} from './loss-watch.ts';

/** Options of the reconciliation. */
export type SettlingOptions = {
	clock: Clock;
	links: AgentLinks;
	leaseHorizonMs: number;
	onSettled: () => void;
	note: (event: string, fields: Record<string, unknown>) => void;
};

/** Reconciliation of one owner. */
export class Settling {
	readonly #options: SettlingOptions;
	#claimedAtMs = Number.POSITIVE_INFINITY;
	#isReconciled = false;

	constructor(options: SettlingOptions) {
		this.#options = options;
	}

	/** Whether tasks of jobs from before the claim may be started. */
	get isSettled(): boolean {
		return this.#isReconciled;
	}

	/** Starts the reconciliation, once the claim is stored. */
	begin(): void {
		this.#claimedAtMs = this.#options.clock.monotonicMs();
	}

	/** Checks the agents; to be called periodically. */
	check(): void {
		const {clock, links, leaseHorizonMs, note, onSettled} = this.#options;
		if (this.#isReconciled || !links.isRegistryRead) {
			return;
		}

		const tookMs = clock.monotonicMs() - this.#claimedAtMs;
		const missing = [...links.workers.values()].filter(worker => !worker.isListed);
		if (missing.length === 0 || tookMs > getLeaseOverMs(leaseHorizonMs)) {
			this.#isReconciled = true;
			note('settled', {tookMs: Math.round(tookMs), agents: links.workers.size, missing: missing.map(worker => worker.host)});
			onSettled();
		}
	}
}
