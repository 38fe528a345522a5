/**
Evictions for waiting tasks: for urgent ones after a short wait, and for demand within a quota after a longer one.
*/
import {EvictionReason} from '../types/placement.ts';
import {type Place} from './placement-reservations.ts';
import {type Round} from './placement-round.ts';
import {
	isAvailable, TaskPhase, type JobEntry, type TaskEntry, type WorkerEntry,
} from './placement-state.ts';
import {planEviction, type EvictionBudget, type EvictionPlan} from './urgency-eviction.ts';

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
export const evictForUrgent = (cycle: Round, job: JobEntry): boolean => {
	const {queue, urgentBudget, settings} = cycle.context;
	if (job.missing !== undefined || job.isFinal || cycle.nowMs - job.queuedAtMs < settings.urgentPatienceMs) {
		return false;
	}

	const isEligible = ({job: other}: TaskEntry) => !queue.isUrgent(other) && other.spec.priority < job.spec.priority;
	return evict(cycle, job, {
		entries: listEntries(cycle, job),
		reason: EvictionReason.Urgent,
		budget: urgentBudget,
		claimMs: settings.urgentClaimMs,
		plan: entry => findPlan(cycle, entry, isEligible),
	});
};

/** Reclaims borrowed capacity for demand within a quota that has waited too long. */
export const runReturnPass = (cycle: Round): void => {
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
const isReclaimDue = ({context: {quotas, settings}, nowMs}: Round, job: JobEntry): boolean =>
	job.waitingCount > 0 && job.missing === undefined && !job.isFinal
	&& nowMs - job.queuedAtMs >= settings.quotaReturnMs
	&& quotas.hasQuotaFor(job.spec.team, job.need, job.spec.isGang ? job.waitingCount : 1);

const reclaim = (cycle: Round, job: JobEntry): boolean => {
	const {queue, quotas, otherBudget, settings} = cycle.context;
	const isBorrowed = ({job: other}: TaskEntry) =>
		other.spec.team !== job.spec.team && !queue.isUrgent(other) && quotas.isOver(other.spec.team);
	return evict(cycle, job, {
		entries: listEntries(cycle, job),
		reason: EvictionReason.QuotaReturn,
		budget: otherBudget,
		claimMs: 4 * settings.urgentClaimMs,
		plan: entry => findReclaimPlan(cycle, entry, isBorrowed),
	});
};

const listEntries = ({context: {queue}}: Round, job: JobEntry): TaskEntry[] =>
	job.spec.isGang ? queue.listWaiting(job) : [queue.peek(job)!];

/** Evicts what is needed for all of the entries and reserves the capacity for them, or does nothing. */
const evict = (cycle: Round, job: JobEntry, options: EvictionOptions): boolean => {
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
			quotas.changeLeaving(victim.job.spec.team, victim.reserved, 1);
			victims.push(victim);
		}
	}

	for (const {entry, worker} of places) {
		fleet.claim(worker, entry.reserved, -1);
	}

	for (const victim of victims) {
		victim.phase = TaskPhase.Placed;
		quotas.changeLeaving(victim.job.spec.team, victim.reserved, -1);
	}

	if (places.length < entries.length || !budget.take(victims.length, cycle.nowMs)) {
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

const findPlan = (cycle: Round, entry: TaskEntry, isEligible: (entry: TaskEntry) => boolean): EvictionPlan | undefined => {
	const {fleet, random, getEvictionCost} = cycle.context;
	const {region} = entry.job;
	const policy = {
		isAllowed: (worker: WorkerEntry) =>
			isAvailable(worker) && !worker.isProbing && worker.avoidUntilMs <= cycle.nowMs && (region === undefined || worker.spec.region === region),
		isEligible,
		getCost: (victim: TaskEntry) => getEvictionCost(victim, cycle.nowMs),
	};
	return planEviction(entry.reserved, fleet.draw(sampledWorkers, random), policy)
		?? (fleet.size > sampledWorkers ? planEviction(entry.reserved, fleet.list(), policy) : undefined);
};

const findReclaimPlan = (cycle: Round, entry: TaskEntry, isBorrowed: (entry: TaskEntry) => boolean): EvictionPlan | undefined => {
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
