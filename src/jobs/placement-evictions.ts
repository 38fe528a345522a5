/**
Evictions for waiting tasks: for urgent ones after a short wait, and for demand within a quota after a longer one.
*/
import {EvictionReason} from '../types/placement.ts';
import {type Place} from './placement-reservations.ts';
import {type PlacementCycle} from './placement-cycle.ts';
import {
	isAvailable, TaskPhase, type JobEntry, type TaskEntry, type WorkerEntry,
} from './placement-state.ts';
import {planEviction, type EvictionBudget, type EvictionPlan} from './eviction-planning.ts';

const sampledWorkers = 256;
const maxReclaimsPerCycle = 16;
const maxPlanAttempts = 4;

type EvictionOptions = {
	entries: TaskEntry[];
	reason: EvictionReason;
	budget: EvictionBudget;
	claimMs: number;
	plan(entry: TaskEntry): EvictionPlan | undefined;
};

/**
Evicts tasks of lower priority for urgent work. Urgent tasks are never victims, and only urgent tasks evict for urgency: an
evicted task cannot evict others in turn, so evictions do not cascade.
*/
export const evictForUrgent = (cycle: PlacementCycle, job: JobEntry): boolean => {
	const {queue, urgentEvictionBudget, settings} = cycle.context;
	if (job.missing !== undefined || job.isFailingEverywhere || cycle.nowMs - job.queuedAtMs < settings.urgentPatienceMs) {
		return false;
	}

	const isEligible = ({job: other}: TaskEntry) => !queue.isUrgent(other) && other.spec.priority < job.spec.priority;
	return evict(cycle, job, {
		entries: listEntries(cycle, job),
		reason: EvictionReason.Urgent,
		budget: urgentEvictionBudget,
		claimMs: settings.urgentClaimMs,
		plan: entry => findPlan(cycle, entry, isEligible),
	});
};

/** Reclaims borrowed capacity for demand within a quota that has waited too long. */
export const runQuotaReturnPass = (cycle: PlacementCycle): void => {
	const {queue, quotas} = cycle.context;
	if (!quotas.hasQuotas) {
		return;
	}

	const waiting = [...queue.teams.values()].flat();
	let remaining = maxReclaimsPerCycle;
	for (const job of waiting) {
		while (remaining > 0 && !cycle.isFull && isReclaimDue(cycle, job)) {
			remaining--;
			if (!reclaim(cycle, job)) {
				break;
			}
		}
	}
};

/** Tells whether the job has waited too long for capacity that its team's quota grants. */
const isReclaimDue = ({context: {quotas, settings}, nowMs}: PlacementCycle, job: JobEntry): boolean =>
	job.waitingCount > 0 && job.missing === undefined && !job.isFailingEverywhere
	&& nowMs - job.queuedAtMs >= settings.quotaReturnMs
	&& quotas.hasQuotaFor(job.spec.team, job.need, job.spec.isGang ? job.waitingCount : 1);

const reclaim = (cycle: PlacementCycle, job: JobEntry): boolean => {
	const {queue, quotas, regularEvictionBudget, settings} = cycle.context;
	const isBorrowed = ({job: other}: TaskEntry) =>
		other.spec.team !== job.spec.team && !queue.isUrgent(other) && quotas.exceedsQuota(other.spec.team);
	return evict(cycle, job, {
		entries: listEntries(cycle, job),
		reason: EvictionReason.QuotaReturn,
		budget: regularEvictionBudget,
		claimMs: 4 * settings.urgentClaimMs,
		plan: entry => findReclaimPlan(cycle, entry, isBorrowed),
	});
};

const listEntries = ({context: {queue}}: PlacementCycle, job: JobEntry): TaskEntry[] =>
	job.spec.isGang ? queue.listWaiting(job) : [queue.peek(job)!];

/** Evicts what is needed for all of the entries and reserves the capacity for them, or does nothing. */
const evict = (cycle: PlacementCycle, job: JobEntry, options: EvictionOptions): boolean => {
	const {entries, plan, budget, claimMs, reason} = options;
	const {fleet, quotas, reservations} = cycle.context;
	const places: Place[] = [];
	const victims: TaskEntry[] = [];
	for (const entry of entries) {
		cycle.refreshNeed(entry);
		const found = plan(entry);
		if (!found) {
			break;
		}

		// Claimed at once, so that the plan for the next task of a gang uses what is left.
		fleet.claim(found.worker, entry.reserved, 1);
		places.push({entry, worker: found.worker});
		for (const victim of found.victims) {
			victim.phase = TaskPhase.Evicting;
			quotas.changeEvicting(victim.job.spec.team, victim.reserved, 1);
			victims.push(victim);
		}
	}

	for (const {entry, worker} of places) {
		fleet.claim(worker, entry.reserved, -1);
	}

	for (const victim of victims) {
		victim.phase = TaskPhase.Placed;
		quotas.changeEvicting(victim.job.spec.team, victim.reserved, -1);
	}

	if (places.length < entries.length || !budget.tryTake(victims.length, cycle.nowMs)) {
		return false;
	}

	reservations.reserve({
		job, places, deadlineMs: cycle.nowMs + claimMs, isPassive: false,
	});
	for (const victim of victims) {
		cycle.evict(victim, reason, entries[0]!.task.taskId);
	}

	return true;
};

const findPlan = (cycle: PlacementCycle, entry: TaskEntry, isEligible: (entry: TaskEntry) => boolean): EvictionPlan | undefined => {
	const {fleet, random, getEvictionCost} = cycle.context;
	const {region} = entry.job;
	const policy = {
		isAllowed: (worker: WorkerEntry) =>
			isAvailable(worker) && !worker.isProbing && worker.avoidUntilMs <= cycle.nowMs && (region === undefined || worker.spec.region === region),
		isEligible,
		getCost: (victim: TaskEntry) => getEvictionCost(victim, cycle.nowMs),
	};
	return planEviction(entry.reserved, fleet.sample(sampledWorkers, random), policy)
		?? (fleet.size > sampledWorkers ? planEviction(entry.reserved, fleet.list(), policy) : undefined);
};

const findReclaimPlan = (cycle: PlacementCycle, entry: TaskEntry, isBorrowed: (entry: TaskEntry) => boolean): EvictionPlan | undefined => {
	const spared = new Set<TaskEntry>();
	for (let attempt = 0; attempt < maxPlanAttempts; attempt++) {
		const plan = findPlan(cycle, entry, victim => !spared.has(victim) && isBorrowed(victim));
		const unborrowed = plan && cycle.context.quotas.findUnborrowed(plan.victims.map(({job, reserved}) => ({team: job.spec.team, amount: reserved})));
		if (unborrowed === undefined) {
			return plan;
		}

		// Evicting the victims before it already brings its team within the quota.
		spared.add(plan!.victims[unborrowed]!);
	}

	return undefined;
};
