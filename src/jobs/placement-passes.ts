/**
The passes of a round: urgent work first, then teams by their shares, then room kept for large work.
*/
import {TaskClass} from '../types/jobs.ts';
import {type Resources} from '../types/platform.ts';
import {EvictionReason} from '../types/placement.ts';
import {addTo, getDominantShare, isWithin} from './placement-resources.ts';
import {type Place} from './placement-reservations.ts';
import {type Round} from './placement-round.ts';
import {
	isAvailable, TaskPhase, type JobEntry, type TaskEntry, type WorkerEntry,
} from './placement-state.ts';
import {planEviction, type EvictionPlan} from './urgency-eviction.ts';

const drawnWorkers = 256;
const reservedMs = 120_000;
const maxReservations = 4;
// Tasks that take less than this share of a worker find room as others end.
const largeShare = 0.25;
const returnsPerRound = 16;
const returnTries = 4;

/** Starts urgent work, by eviction where no room is free. */
export const runUrgentPass = (round: Round): void => {
	const jobs = [...round.context.queue.urgent];
	for (const job of jobs) {
		while (!round.isFull && job.waitingCount > 0 && (round.place(job) || evictForUrgent(round, job))) {
			// Goes on until the job is served or nothing more can be done for it.
		}
	}
};

/** Starts tasks of all teams: those within their quota first, then by dominant share; inside a team by priority. */
export const runFairPass = (round: Round): void => {
	const {queue, quotas} = round.context;
	const cursors = [...queue.teams].map(([team, jobs]) => ({team, jobs, position: 0}));
	while (!round.isFull) {
		let best: (typeof cursors)[number] | undefined;
		let bestKey = Number.POSITIVE_INFINITY;
		for (const cursor of cursors) {
			const job = cursor.jobs[cursor.position];
			if (job) {
				const key = quotas.getShare(cursor.team) + (quotas.hasQuotaFor(cursor.team, job.need) ? 0 : overQuota);
				if (key < bestKey) {
					best = cursor;
					bestKey = key;
				}
			}
		}

		if (!best) {
			return;
		}

		// Jobs that cannot start now cost little: the search remembers that there was no room for their shape.
		while (best.position < best.jobs.length && !round.place(best.jobs[best.position]!)) {
			best.position++;
		}
	}
};

// Above any share, so that borrowers come after all teams within their quotas.
const overQuota = 1e9;

/** Keeps room for the gang or large task that has waited longest, so that smaller ones cannot pass it for ever. */
export const runReservePass = (round: Round): void => {
	const {queue, reservations, settings, fleet} = round.context;
	if (reservations.size >= maxReservations) {
		return;
	}

	let oldest: JobEntry | undefined;
	for (const jobs of queue.teams.values()) {
		for (const job of jobs) {
			if (isWaitingForRoom(job) && round.nowMs - job.queuedAtMs >= settings.reserveAfterMs && (!oldest || job.queuedAtMs < oldest.queuedAtMs)) {
				oldest = job;
			}
		}
	}

	const entry = oldest && queue.peek(oldest);
	if (!oldest || !entry) {
		return;
	}

	const entries = oldest.spec.isGang ? queue.listWaiting(oldest) : [entry];
	for (const each of entries) {
		round.refreshNeed(each);
	}

	const places = planPlaces(round, entries, fleet.draw(2 * drawnWorkers, round.context.random));
	if (places) {
		reservations.reserve(oldest, places, round.nowMs + reservedMs);
	}
};

/** Takes borrowed room back for demand within a quota that has waited too long. */
export const runReturnPass = (round: Round): void => {
	const {queue} = round.context;
	let left = returnsPerRound;
	const waiting = [...queue.teams.values()].flat();
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
	job.waitingCount > 0 && !job.spec.isGang && job.missing === undefined && !job.isFinal
	&& nowMs - job.queuedAtMs >= settings.quotaReturnMs && quotas.hasQuotaFor(job.spec.team, job.need);

const isWaitingForRoom = (job: JobEntry): boolean => job.missing === undefined && !job.isFinal && (job.spec.isGang || isLarge(job));

const isLarge = ({need, spec}: JobEntry): boolean => spec.taskCount > 0 && getDominantShare(need, largeUnit) >= largeShare;

// A worker of today; on larger ones the share only becomes more cautious.
const largeUnit: Resources = {processors: 16, memoryMb: 61_440, accelerators: 1};

const evictForUrgent = (round: Round, job: JobEntry): boolean => {
	if (job.missing !== undefined || job.isFinal) {
		return false;
	}

	const {context} = round;
	const first = context.queue.peek(job)!;
	const entries = job.spec.isGang ? context.queue.listWaiting(job) : [first];
	const places: Place[] = [];
	const victims: TaskEntry[] = [];
	for (const entry of entries) {
		round.refreshNeed(entry);
		const plan = findPlan(round, entry, ({job: other}) => !context.queue.isUrgent(other) && other.spec.priority < job.spec.priority);
		if (!plan) {
			break;
		}

		// Counted at once, so that the next task of a gang plans with what is left.
		context.fleet.claim(plan.worker, entry.reserved, 1);
		places.push({entry, worker: plan.worker});
		for (const victim of plan.victims) {
			victim.phase = TaskPhase.Evicting;
			victims.push(victim);
		}
	}

	for (const {entry, worker} of places) {
		context.fleet.claim(worker, entry.reserved, -1);
	}

	for (const victim of victims) {
		victim.phase = TaskPhase.Placed;
	}

	if (places.length < entries.length || !context.urgentBudget.take(victims.length, round.nowMs)) {
		return false;
	}

	context.reservations.reserve(job, places, round.nowMs + context.settings.urgentClaimMs);
	for (const victim of victims) {
		round.evict(victim, EvictionReason.Urgent, first.task.taskId);
	}

	return true;
};

/**
Urgent tasks are never victims, and only urgent tasks evict for urgency: an evicted task cannot evict in turn, so one
eviction never leads to the next.
*/
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

const takeBack = (round: Round, job: JobEntry): boolean => {
	const {context} = round;
	const entry = context.queue.peek(job)!;
	const spared = new Set<TaskEntry>();
	round.refreshNeed(entry);
	for (let tries = 0; tries < returnTries; tries++) {
		const plan = findPlan(round, entry, other =>
			!spared.has(other) && other.job.spec.team !== job.spec.team && !context.queue.isUrgent(other.job) && context.quotas.isOver(other.job.spec.team));
		if (!plan) {
			return false;
		}

		const excess = findUnborrowed(round, plan.victims);
		if (!excess) {
			return takePlan(round, entry, plan);
		}

		// The earlier victims already bring this team within its quota.
		spared.add(excess);
	}

	return false;
};

const takePlan = (round: Round, entry: TaskEntry, plan: EvictionPlan): boolean => {
	const {reservations, settings, otherBudget} = round.context;
	if (!otherBudget.take(plan.victims.length, round.nowMs)) {
		return false;
	}

	reservations.reserve(entry.job, [{entry, worker: plan.worker}], round.nowMs + (4 * settings.urgentClaimMs));
	for (const victim of plan.victims) {
		round.evict(victim, EvictionReason.QuotaReturn, entry.task.taskId);
	}

	return true;
};

const findUnborrowed = ({context: {quotas}}: Round, victims: TaskEntry[]): TaskEntry | undefined => {
	const gone = new Map<string, Resources>();
	for (const victim of victims) {
		const {team} = victim.job.spec;
		const before = gone.get(team) ?? {processors: 0, memoryMb: 0, accelerators: 0};
		if (!quotas.isOver(team, before)) {
			return victim;
		}

		addTo(before, victim.reserved);
		gone.set(team, before);
	}

	return undefined;
};

/** Chooses the places that batch work leaves soonest, for all of the entries or none. */
const planPlaces = (round: Round, entries: TaskEntry[], workers: readonly WorkerEntry[]): Place[] | undefined => {
	const first = entries[0]!;
	const {region} = first.job;
	const options: Array<{worker: WorkerEntry; waitMs: number}> = [];
	for (const worker of new Set(workers)) {
		if (isAvailable(worker) && !worker.isProbing && (region === undefined || worker.spec.region === region)) {
			for (const waitMs of listWaits(round, worker, first.reserved)) {
				options.push({worker, waitMs});
			}
		}
	}

	if (options.length < entries.length) {
		return undefined;
	}

	options.sort((a, b) => a.waitMs - b.waitMs);
	return entries.map((entry, index) => ({entry, worker: options[index]!.worker}));
};

/** Lists after which times one, two, … tasks of the size would fit as batch tasks end. */
const listWaits = ({context, nowMs}: Round, worker: WorkerEntry, need: Resources): number[] => {
	const ends: Array<{remainingMs: number; entry: TaskEntry}> = [];
	for (const entry of worker.tasks) {
		const {job: {kindId, spec}, phase, startedAtMs} = entry;
		if (phase === TaskPhase.Evicting) {
			ends.push({remainingMs: 0, entry});
		} else if (spec.taskClass === TaskClass.Batch) {
			ends.push({remainingMs: context.sizes.getRemainingMs(kindId, spec.declaredRunTimeMs, nowMs - startedAtMs), entry});
		}
	}

	ends.sort((a, b) => a.remainingMs - b.remainingMs);
	const room = {...worker.free};
	const waits: number[] = [];
	let waitMs = 0;
	for (let next = 0; next <= ends.length; next++) {
		while (isWithin(need, room) && waits.length < 64) {
			waits.push(waitMs);
			addTo(room, need, -1);
		}

		const end = ends[next];
		if (end) {
			waitMs = end.remainingMs;
			addTo(room, end.entry.reserved);
		}
	}

	return waits;
};
