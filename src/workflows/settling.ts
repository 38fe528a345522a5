/**
When a new owner knows what runs: a task that an earlier owner may have started waits until every agent was heard, or their
leases are over.
*/
import {type Clock} from '../types/clock.ts';
import {type AgentLinks} from './agent-links.ts';
import {getLeaseOverMs} from './loss-watch.ts';

/** Options of the settling. */
export type SettlingOptions = {
	clock: Clock;
	links: AgentLinks;
	leaseHorizonMs: number;
	onSettled: () => void;
	note: (event: string, fields: Record<string, unknown>) => void;
};

/** The settling of one owner. */
export class Settling {
	readonly #options: SettlingOptions;
	#claimedAtMs = Number.POSITIVE_INFINITY;
	#isSettled = false;

	constructor(options: SettlingOptions) {
		this.#options = options;
	}

	/** Whether tasks of jobs that are older than the claim may be started. */
	get isSettled(): boolean {
		return this.#isSettled;
	}

	/** The claim is in the log. */
	begin(): void {
		this.#claimedAtMs = this.#options.clock.monotonicMs();
	}

	/** Looks at the agents; to be called every now and then. */
	check(): void {
		const {clock, links, leaseHorizonMs, note, onSettled} = this.#options;
		if (this.#isSettled || !links.isRegistryRead) {
			return;
		}

		const tookMs = clock.monotonicMs() - this.#claimedAtMs;
		const missing = [...links.workers.values()].filter(worker => !worker.isListed);
		if (missing.length === 0 || tookMs > getLeaseOverMs(leaseHorizonMs)) {
			this.#isSettled = true;
			note('settled', {tookMs: Math.round(tookMs), agents: links.workers.size, missing: missing.map(worker => worker.host)});
			onSettled();
		}
	}
}
