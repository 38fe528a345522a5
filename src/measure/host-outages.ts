/**
Outages of hosts in a simulation: which hosts are cut off from all others, and which are without power, at a time.
*/
import {type Random} from '../types/random.ts';

/** What happens to a host. */
export enum OutageKind {
	/** Its agent reaches neither the owner nor the store; the worker goes on under its lease. */
	CutOff = 'cut-off',
	/** The worker and its agent lose their state, and start again afterwards. */
	PowerLoss = 'power-loss',
}

/** An outage of a share of the hosts, which are chosen at random. */
export type HostOutage = {kind: OutageKind; atS: number; durationS: number; share: number};

const msPerS = 1000;

/** The outages of one simulation. */
export class HostOutages {
	readonly #periods: Array<{kind: OutageKind; fromMs: number; untilMs: number; hosts: Set<string>}>;

	constructor(outages: HostOutage[], {hosts, startMs, random}: {hosts: string[]; startMs: number; random: Random}) {
		this.#periods = outages.map(({kind, atS, durationS, share}) => {
			const fromMs = startMs + (atS * msPerS);
			const ranked = hosts.map(host => ({host, rank: random.next()})).toSorted((a, b) => a.rank - b.rank);
			const affected = ranked.slice(0, Math.round(share * hosts.length)).map(({host}) => host);
			return {
				kind, fromMs, untilMs: fromMs + (durationS * msPerS), hosts: new Set(affected),
			};
		});
	}

	/** Whether the host is affected at the time. */
	isAffected(kind: OutageKind, host: string, nowMs: number): boolean {
		return this.#periods.some(period => period.kind === kind && period.hosts.has(host) && nowMs >= period.fromMs && nowMs < period.untilMs);
	}
}
