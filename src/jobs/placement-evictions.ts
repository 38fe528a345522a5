/**
Evictions for waiting work: for urgent tasks at once, and for demand within a quota after a wait.
*/
import {EvictionReason} from '../types/placement.ts';
import {type Place} from './placement-reservations.ts';
import {type Round} from './placement-round.ts';
import {
	isAvailable, TaskPhase, type JobEntry, type TaskEntry, type WorkerEntry,
} from './placement-state.ts';
import {planEviction, type EvictionBudget, type EvictionPlan} from './urgency-eviction.ts';

const drawnWorkers = 256;
const returnsPerRound = 16;
const returnTries = 4;

type EvictionOptions = {
	entries: TaskEntry[];
	reason: EvictionReason;
	budget: EvictionBudget;
	claimMs: number;
	plan(entry: TaskEntry): EvictionPlan | undefined;
};

/**
Makes room for urgent work. Urgent tasks are never victims, and only urgent tasks evict for urgency: an evicted task
cannot evict in turn, so one eviction never leads to the next.
*/
export const evictForUrgent = (round: Round, job: JobEntry): boolean => {
	const {queue, urgentBudget, settings} = round.context;
	if (job.missing !== undefined || job.isFinal || round.nowMs - job.queuedAtMs < settings.urgentPatienceMs) {
		return false;
	}

	const isEligible = ({job: other}: TaskEntry) => !queue.isUrgent(other) && other.spec.priority < job.spec.priority;
	return evict(round, job, {
		entries: listEntries(round, job),
		reason: EvictionReason.Urgent,
		budget: urgentBudget,
		claimMs: settings.urgentClaimMs,
		plan: entry => findPlan(round, entry, isEligible),
	});
};

/** Takes borrowed room back for demand within a quota that has waited too long. */
export const runReturnPass = (round: Round): void => {
	const {queue, quotas} = round.context;
	if (!quotas.hasQuotas) {
		return;
	}

	const waiting = [...queue.teams.values()].flat();
	let left = returnsPerRound;
	for (const job of waiting) {
		while (left > 0 && !round.isFull && isOwed(round, job)) {
			left--;
			if (!takeBack(round, job)) {
				break;
			}
		}
	}
};

/** Tells whether the job has waited too long for room that its team's quota grants. */
const isOwed = ({context: {quotas, settings}, nowMs}: Round, job: JobEntry): boolean =>
	job.waitingCount > 0 && job.missing === undefined && !job.isFinal
	&& nowMs - job.queuedAtMs >= settings.quotaReturnMs
	&& quotas.hasQuotaFor(job.spec.team, job.need, job.spec.isGang ? job.waitingCount : 1);

const takeBack = (round: Round, job: JobEntry): boolean => {
	const {queue, quotas, otherBudget, settings} = round.context;
	const isBorrowed = ({job: other}: TaskEntry) =>
		other.spec.team !== job.spec.team && !queue.isUrgent(other) && quotas.isOver(other.spec.team);
	return evict(round, job, {
		entries: listEntries(round, job),
		reason: EvictionReason.QuotaReturn,
		budget: otherBudget,
		claimMs: 4 * settings.urgentClaimMs,
		plan: entry => findReturnPlan(round, entry, isBorrowed),
	});
};

const listEntries = ({context: {queue}}: Round, job: JobEntry): TaskEntry[] =>
	job.spec.isGang ? queue.listWaiting(job) : [queue.peek(job)!];

/** Evicts what makes room for all of the entries, and keeps that room for them; or does nothing. */
const evict = (round: Round, job: JobEntry, options: EvictionOptions): boolean => {
	const {entries, plan, budget, claimMs, reason} = options;
	const {fleet, quotas, reservations} = round.context;
	const places: Place[] = [];
	const victims: TaskEntry[] = [];
	for (const entry of entries) {
		round.refreshNeed(entry);
		const found = plan(entry);
		if (!found) {
			break;
		}

		// Counted at once, so that the next task of a gang plans with what is left.
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

	if (places.length < entries.length || !budget.take(victims.length, round.nowMs)) {
		return false;
	}

	reservations.reserve({
		job, places, deadlineMs: round.nowMs + claimMs, isPassive: false,
	});
	for (const victim of victims) {
		round.evict(victim, reason, entries[0]!.task.taskId);
	}

	return true;
};

const findPlan = (round: Round, entry: TaskEntry, isEligible: (entry: TaskEntry) => boolean): EvictionPlan | undefined => {
	const {fleet, random, getEvictionCost} = round.context;
	const {region} = entry.job;
	const policy = {
		isAllowed: (worker: WorkerEntry) =>
			isAvailable(worker) && !worker.isProbing && worker.avoidUntilMs <= round.nowMs && (region === undefined || worker.spec.region === region),
		isEligible,
		getCost: (victim: TaskEntry) => getEvictionCost(victim, round.nowMs),
	};
	return planEviction(entry.reserved, fleet.draw(drawnWorkers, random), policy)
		?? (fleet.size > drawnWorkers ? planEviction(entry.reserved, fleet.list(), policy) : undefined);
};

const findReturnPlan = (round: Round, entry: TaskEntry, isBorrowed: (entry: TaskEntry) => boolean): EvictionPlan | undefined => {
	const spared = new Set<TaskEntry>();
	for (let tries = 0; tries < returnTries; tries++) {
		const plan = findPlan(round, entry, victim => !spared.has(victim) && isBorrowed(victim));
		const excess = plan && round.context.quotas.findUnborrowed(plan.victims.map(({job, reserved}) => ({team: job.spec.team, amount: reserved})));
		if (excess === undefined) {
			return plan;
		}

		// The victims before it already bring its team within the quota.
		spared.add(plan!.victims[excess]!);
	}

	return undefined;
};
