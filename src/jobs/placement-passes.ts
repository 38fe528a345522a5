/**
Passes of a scheduling cycle: urgent work first, then teams by fair share, then reservations for gangs and large tasks.
*/
import {TaskClass} from '../types/jobs.ts';
import {type Resources} from '../types/platform.ts';
import {addTo, getDominantShare, isWithin} from './placement-resources.ts';
import {type Place} from './placement-reservations.ts';
import {type QuotaLedger} from './quota-ledger.ts';
import {type PlacementCycle} from './placement-cycle.ts';
import {
	isAvailable, TaskPhase, type JobEntry, type TaskEntry, type WorkerEntry,
} from './placement-state.ts';
import {evictForUrgent} from './placement-evictions.ts';

const sampledWorkers = 256;
const reservationMs = 120_000;
const reservationRetryMs = 1000;
const maxReservations = 4;
// Tasks below this share of the reference worker fit as soon as others end, without a reservation.
const largeShare = 0.5;
// A job waits this many times as long for a reservation when quota evictions may free the capacity instead.
const evictionWaitFactor = 3;

/** Starts urgent work, by eviction where no capacity is free. */
export const runUrgentPass = (cycle: PlacementCycle): void => {
	const {queue, headroom, reservations} = cycle.context;
	const jobs = [...queue.urgent];
	const waiting = jobs.reduce((sum, {waitingCount}) => sum + waitingCount, 0);
	for (const job of jobs) {
		const entry = queue.peek(job);
		if (entry) {
			headroom.observe(entry, waiting, cycle.nowMs);
		}

		while (!cycle.isFull && job.waitingCount > 0 && placeUrgent(cycle, job)) {
			// Repeats until all tasks of the job have left the queue or no more can be done for it.
		}
	}

	// A waiting gang may need every host: no headroom is reserved for future urgent work meanwhile.
	if (!reservations.hasPassive()) {
		headroom.refill(cycle.nowMs);
	}
};

/**
Tries free capacity first, then the headroom, then capacity of passive reservations (their jobs may get a new one at the
end of the cycle), and evicts last.
*/
const placeUrgent = (cycle: PlacementCycle, job: JobEntry): boolean => {
	const {headroom, reservations} = cycle.context;
	return cycle.place(job)
		|| (headroom.release() && cycle.place(job))
		|| (reservations.cancelPassive() && cycle.place(job))
		|| evictForUrgent(cycle, job);
};

/** Starts tasks of all teams: teams within their quota first, then by dominant share; within a team by priority. */
export const runFairSharePass = (cycle: PlacementCycle): void => {
	const {queue, quotas} = cycle.context;
	const cursors = [...queue.teams].map(([team, jobs]): TeamCursor => ({
		team, jobs, position: 0, key: 0,
	}));
	for (const cursor of cursors) {
		updateKey(cursor, quotas);
	}

	while (!cycle.isFull) {
		const best = findLowestKey(cursors);
		if (!best) {
			return;
		}

		// Jobs that cannot start now cost little: the cycle remembers that a search for their shape failed.
		while (best.position < best.jobs.length && !cycle.place(best.jobs[best.position]!)) {
			best.position++;
		}

		updateKey(best, quotas);
	}
};

type TeamCursor = {
	team: string;
	jobs: JobEntry[];
	position: number;
	/** Dominant share, plus an offset if the team would exceed its quota; infinite when no job is left to try. */
	key: number;
};

const updateKey = (cursor: TeamCursor, quotas: QuotaLedger): void => {
	const job = cursor.jobs[cursor.position];
	cursor.key = job
		? quotas.getWeightedShare(cursor.team) + (quotas.hasQuotaFor(cursor.team, job.need) ? 0 : overQuotaOffset)
		: Number.POSITIVE_INFINITY;
};

const findLowestKey = (cursors: TeamCursor[]): TeamCursor | undefined => {
	let best: TeamCursor | undefined;
	for (const cursor of cursors) {
		if (cursor.key < (best?.key ?? Number.POSITIVE_INFINITY)) {
			best = cursor;
		}
	}

	return best;
};

// Larger than any share, so that teams beyond their quotas come after all teams within theirs.
const overQuotaOffset = 1e9;

/** Reserves capacity for the gang or large task that has waited longest, so that smaller tasks cannot starve it. */
export const runReservationPass = (cycle: PlacementCycle): void => {
	const {queue, reservations, fleet, headroom} = cycle.context;
	if (reservations.size >= maxReservations) {
		return;
	}

	let oldest: JobEntry | undefined;
	for (const jobs of queue.teams.values()) {
		for (const job of jobs) {
			if (isReservationDue(cycle, job) && (!oldest || job.queuedAtMs < oldest.queuedAtMs)) {
				oldest = job;
			}
		}
	}

	const entry = oldest && queue.peek(oldest);
	if (!oldest || !entry) {
		return;
	}

	oldest.nextReservationAtMs = cycle.nowMs + reservationRetryMs;
	headroom.release();
	const entries = oldest.spec.isGang ? queue.listWaiting(oldest) : [entry];
	for (const each of entries) {
		cycle.refreshNeed(each);
	}

	const places = planPlaces(cycle, entries, fleet.sample(2 * sampledWorkers, cycle.context.random));
	if (places) {
		reservations.reserve({
			job: oldest, places, deadlineMs: cycle.nowMs + reservationMs, isPassive: true,
		});
	}
};

const isReservationDue = ({context: {quotas, settings}, nowMs}: PlacementCycle, job: JobEntry): boolean => {
	const waitedMs = nowMs - job.queuedAtMs;
	if (job.missing !== undefined || job.isFailingEverywhere || job.nextReservationAtMs > nowMs || waitedMs < settings.reserveAfterMs || !(job.spec.isGang || isLarge(job))) {
		return false;
	}

	// Within the quota, capacity is first reclaimed from borrowers; a reservation is made only if that takes too long.
	const canBeReclaimed = quotas.hasBorrower() && quotas.hasQuotaFor(job.spec.team, job.need);
	return !canBeReclaimed || waitedMs >= evictionWaitFactor * Math.max(settings.reserveAfterMs, settings.quotaReturnMs);
};

const isLarge = ({need, spec}: JobEntry): boolean => spec.taskCount > 0 && getDominantShare(need, referenceWorker) >= largeShare;

// Capacity of a usual worker. Where workers are larger, tasks are only treated as large somewhat earlier.
const referenceWorker: Resources = {processors: 16, memoryMb: 61_440, accelerators: 8};

/** Chooses the workers on which batch tasks are expected to free the capacity soonest, for all of the entries or none. */
const planPlaces = (cycle: PlacementCycle, entries: TaskEntry[], workers: readonly WorkerEntry[]): Place[] | undefined => {
	const first = entries[0]!;
	const {region} = first.job;
	const options: Array<{worker: WorkerEntry; waitMs: number}> = [];
	for (const worker of new Set(workers)) {
		if (isAvailable(worker) && !worker.isProbing && (region === undefined || worker.spec.region === region)) {
			for (const waitMs of listWaitTimes(cycle, worker, first.reserved)) {
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

/** Lists the times until one, two, … tasks of this size fit, as batch tasks are expected to end. */
const listWaitTimes = ({context, nowMs}: PlacementCycle, worker: WorkerEntry, need: Resources): number[] => {
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
	const free = {...worker.free};
	const waits: number[] = [];
	let waitMs = 0;
	for (let next = 0; next <= ends.length; next++) {
		while (isWithin(need, free) && waits.length < 64) {
			waits.push(waitMs);
			addTo(free, need, -1);
		}

		const end = ends[next];
		if (end) {
			waitMs = end.remainingMs;
			addTo(free, end.entry.reserved);
		}
	}

	return waits;
};
