/**
Quotas and usage of teams; their dominant shares decide which team is served next.
*/
import {type Resources} from '../types/platform.ts';
import {
	addTo, createNoResources, getDifference, getDominantShare, getSum, isWithin,
} from './placement-resources.ts';

/** Quota and usage of a team. */
export type TeamEntry = {
	team: string;
	/** Undefined: no quota, all that the team uses is borrowed. */
	quota: Resources | undefined;
	weight: number;
	used: Resources;
	/** Reserved for tasks that wait until capacity is free. */
	claimed: Resources;
	/** Part of `used` that is held by tasks with a pending eviction. */
	evicting: Resources;
};

const noResources = createNoResources();

/** Quotas and usage of all teams. */
export class QuotaLedger {
	readonly #teams = new Map<string, TeamEntry>();
	readonly #total = createNoResources();
	#hasQuotas = false;

	/** Tells whether any team has a quota. */
	get hasQuotas(): boolean {
		return this.#hasQuotas;
	}

	/** Sets the quota and weight of a team. */
	setQuota(team: string, quota: Resources, weight: number): void {
		const entry = this.getTeam(team);
		this.#hasQuotas = true;
		entry.quota = {...quota};
		entry.weight = Math.max(weight, Number.EPSILON);
	}

	/** Gets the team, created on first use. */
	getTeam(team: string): TeamEntry {
		let entry = this.#teams.get(team);
		if (!entry) {
			entry = {
				team, quota: undefined, weight: 1, used: createNoResources(), claimed: createNoResources(), evicting: createNoResources(),
			};
			this.#teams.set(team, entry);
		}

		return entry;
	}

	/** Adds schedulable capacity to the fleet's total (1), or subtracts it (-1). */
	changeTotal(capacity: Resources, times: 1 | -1): void {
		addTo(this.#total, capacity, times);
	}

	/** Adds to the capacity allocated to the team (1), or subtracts (-1). */
	changeUsed(team: string, amount: Resources, times: 1 | -1): void {
		addTo(this.getTeam(team).used, amount, times);
	}

	/** Adds to the capacity reserved for the team (1), or subtracts (-1). */
	changeClaimed(team: string, amount: Resources, times: 1 | -1): void {
		addTo(this.getTeam(team).claimed, amount, times);
	}

	/** Adds to the team's capacity under eviction (1), or subtracts once that is confirmed (-1). */
	changeEvicting(team: string, amount: Resources, times: 1 | -1): void {
		addTo(this.getTeam(team).evicting, amount, times);
	}

	/** Gets the dominant share of the team's usage, divided by its weight. */
	getWeightedShare(team: string): number {
		const {used, weight} = this.getTeam(team);
		return getDominantShare(used, this.#total) / weight;
	}

	/** Tells whether the team exceeds its quota even without `besides` and the capacity under eviction. */
	exceedsQuota(team: string, besides: Resources = noResources): boolean {
		const {quota, used, evicting} = this.getTeam(team);
		return !quota || !isWithin(getDifference(getDifference(used, evicting), besides), quota);
	}

	/** Tells whether any team exceeds its quota. */
	hasBorrower(): boolean {
		return [...this.#teams.values()].some(({team, used}) => used.processors > 0 && this.exceedsQuota(team));
	}

	/** Finds the index of the first allocation that is within its team's quota once those before it are released. */
	findUnborrowed(allocations: Array<{team: string; amount: Resources}>): number | undefined {
		const released = new Map<string, Resources>();
		for (const [index, {team, amount}] of allocations.entries()) {
			const before = released.get(team) ?? createNoResources();
			if (!this.exceedsQuota(team, before)) {
				return index;
			}

			addTo(before, amount);
			released.set(team, before);
		}

		return undefined;
	}

	/** Tells whether the team would still be within its quota with `times` times the amount more. */
	hasQuotaFor(team: string, amount: Resources, times = 1): boolean {
		const {quota, used, claimed} = this.getTeam(team);
		if (!quota) {
			return false;
		}

		const sum = getSum(used, claimed);
		addTo(sum, amount, times);
		return isWithin(sum, quota);
	}
}
