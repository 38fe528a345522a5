/**
Quotas of teams: what each holds, and which is served next by dominant share.
*/
import {type Resources} from '../types/platform.ts';
import {
	addTo, createNone, getDifference, getDominantShare, getSum, isWithin,
} from './placement-resources.ts';

/** What a team may hold and holds. */
export type TeamEntry = {
	team: string;
	/** None: all that the team holds is borrowed. */
	quota: Resources | undefined;
	weight: number;
	used: Resources;
	/** Kept for tasks that wait for room to come free. */
	claimed: Resources;
	/** Held by tasks whose eviction is under way. */
	leaving: Resources;
};

const nothing = createNone();

/** Holdings of all teams. */
export class QuotaLedger {
	readonly #teams = new Map<string, TeamEntry>();
	readonly #total = createNone();
	#hasQuotas = false;

	/** Tells whether any team has a quota. */
	get hasQuotas(): boolean {
		return this.#hasQuotas;
	}

	/** Sets the quota and weight of a team. */
	setQuota(team: string, quota: Resources, weight: number): void {
		const entry = this.get(team);
		this.#hasQuotas = true;
		entry.quota = {...quota};
		entry.weight = Math.max(weight, Number.EPSILON);
	}

	/** Gets the team, made up on first use. */
	get(team: string): TeamEntry {
		let entry = this.#teams.get(team);
		if (!entry) {
			entry = {
				team, quota: undefined, weight: 1, used: createNone(), claimed: createNone(), leaving: createNone(),
			};
			this.#teams.set(team, entry);
		}

		return entry;
	}

	/** Counts capacity of the fleet that comes, or goes with -1. */
	changeTotal(capacity: Resources, times: 1 | -1): void {
		addTo(this.#total, capacity, times);
	}

	/** Counts an amount that the team takes, or gives back with -1. */
	change(team: string, amount: Resources, times: 1 | -1): void {
		addTo(this.get(team).used, amount, times);
	}

	/** Counts an amount that is kept for the team, or no longer with -1. */
	changeClaimed(team: string, amount: Resources, times: 1 | -1): void {
		addTo(this.get(team).claimed, amount, times);
	}

	/** Counts an amount whose eviction is under way, or confirmed with -1. */
	changeLeaving(team: string, amount: Resources, times: 1 | -1): void {
		addTo(this.get(team).leaving, amount, times);
	}

	/** Gets the dominant share of what the team holds, by its weight. */
	getShare(team: string): number {
		const {used, weight} = this.get(team);
		return getDominantShare(used, this.#total) / weight;
	}

	/** Tells whether the team holds more than its quota, even when `besides` and all that is leaving is gone. */
	isOver(team: string, besides: Resources = nothing): boolean {
		const {quota, used, leaving} = this.get(team);
		return !quota || !isWithin(getDifference(getDifference(used, leaving), besides), quota);
	}

	/** Tells whether any team holds more than its quota. */
	hasBorrower(): boolean {
		return [...this.#teams.values()].some(({team, used}) => used.processors > 0 && this.isOver(team));
	}

	/** Finds the first holding that is not borrowed any more once those before it are gone. */
	findUnborrowed(holdings: Array<{team: string; amount: Resources}>): number | undefined {
		const gone = new Map<string, Resources>();
		for (const [index, {team, amount}] of holdings.entries()) {
			const before = gone.get(team) ?? createNone();
			if (!this.isOver(team, before)) {
				return index;
			}

			addTo(before, amount);
			gone.set(team, before);
		}

		return undefined;
	}

	/** Tells whether the team would still be within its quota after taking the amount so many times. */
	hasQuotaFor(team: string, amount: Resources, times = 1): boolean {
		const {quota, used, claimed} = this.get(team);
		if (!quota) {
			return false;
		}

		const sum = getSum(used, claimed);
		addTo(sum, amount, times);
		return isWithin(sum, quota);
	}
}
