/**
The passes of a round: urgent work first, then teams by their shares, then room kept for large work.
*/
import {TaskClass} from '../types/jobs.ts';
import {type Resources} from '../types/platform.ts';
import {addTo, getDominantShare, isWithin} from './placement-resources.ts';
import {type Place} from './placement-reservations.ts';
import {type QuotaLedger} from './quota-ledger.ts';
import {type Round} from './placement-round.ts';
import {
	isAvailable, TaskPhase, type JobEntry, type TaskEntry, type WorkerEntry,
} from './placement-state.ts';
import {evictForUrgent} from './placement-evictions.ts';

const drawnWorkers = 256;
const reservedMs = 120_000;
const reserveRetryMs = 1000;
const maxReservations = 4;
// Tasks that take less than this share of a worker find room as others end.
const largeShare = 0.5;
// Waits longer by this factor when an eviction may bring the room instead.
const patience = 3;

/** Starts urgent work, by eviction where no room is free. */
export const runUrgentPass = (round: Round): void => {
	const {queue, headroom, reservations} = round.context;
	const jobs = [...queue.urgent];
	const waiting = jobs.reduce((sum, {waitingCount}) => sum + waitingCount, 0);
	for (const job of jobs) {
		const entry = queue.peek(job);
		if (entry) {
			headroom.note(entry, waiting, round.nowMs);
		}

		while (!round.isFull && job.waitingCount > 0 && placeUrgent(round, job)) {
			// Goes on until the job is served or nothing more can be done for it.
		}
	}

	// A gang may need every host: no room is kept free for what may come while one waits.
	if (!reservations.hasPassive()) {
		headroom.refill(round.nowMs);
	}
};

/**
Room kept free for urgent work is used first, then room kept for large work behind ends: that work gets it back at the
end of the round.
*/
const placeUrgent = (round: Round, job: JobEntry): boolean => {
	const {headroom, reservations} = round.context;
	return round.place(job)
		|| (headroom.release() && round.place(job))
		|| (reservations.cancelPassive() && round.place(job))
		|| evictForUrgent(round, job);
};

/** Starts tasks of all teams: those within their quota first, then by dominant share; inside a team by priority. */
export const runFairPass = (round: Round): void => {
	const {queue, quotas} = round.context;
	const cursors = [...queue.teams].map(([team, jobs]): Cursor => ({
		team, jobs, position: 0, key: 0,
	}));
	for (const cursor of cursors) {
		setKey(cursor, quotas);
	}

	while (!round.isFull) {
		const best = findFirst(cursors);
		if (!best) {
			return;
		}

		// Jobs that cannot start now cost little: the search remembers that there was no room for their shape.
		while (best.position < best.jobs.length && !round.place(best.jobs[best.position]!)) {
			best.position++;
		}

		setKey(best, quotas);
	}
};

type Cursor = {
	team: string;
	jobs: JobEntry[];
	position: number;
	/** Dominant share, behind all others for a borrower; infinite when nothing is left to start. */
	key: number;
};

const setKey = (cursor: Cursor, quotas: QuotaLedger): void => {
	const job = cursor.jobs[cursor.position];
	cursor.key = job
		? quotas.getShare(cursor.team) + (quotas.hasQuotaFor(cursor.team, job.need) ? 0 : overQuota)
		: Number.POSITIVE_INFINITY;
};

const findFirst = (cursors: Cursor[]): Cursor | undefined => {
	let best: Cursor | undefined;
	for (const cursor of cursors) {
		if (cursor.key < (best?.key ?? Number.POSITIVE_INFINITY)) {
			best = cursor;
		}
	}

	return best;
};

// Above any share, so that borrowers come after all teams within their quotas.
const overQuota = 1e9;

/** Keeps room for the gang or large task that has waited longest, so that smaller ones cannot pass it for ever. */
export const runReservePass = (round: Round): void => {
	const {queue, reservations, fleet, headroom} = round.context;
	if (reservations.size >= maxReservations) {
		return;
	}

	let oldest: JobEntry | undefined;
	for (const jobs of queue.teams.values()) {
		for (const job of jobs) {
			if (isWaitingForRoom(round, job) && (!oldest || job.queuedAtMs < oldest.queuedAtMs)) {
				oldest = job;
			}
		}
	}

	const entry = oldest && queue.peek(oldest);
	if (!oldest || !entry) {
		return;
	}

	oldest.reserveAtMs = round.nowMs + reserveRetryMs;
	headroom.release();
	const entries = oldest.spec.isGang ? queue.listWaiting(oldest) : [entry];
	for (const each of entries) {
		round.refreshNeed(each);
	}

	const places = planPlaces(round, entries, fleet.draw(2 * drawnWorkers, round.context.random));
	if (places) {
		reservations.reserve({
			job: oldest, places, deadlineMs: round.nowMs + reservedMs, isPassive: true,
		});
	}
};

const isWaitingForRoom = ({context: {quotas, settings}, nowMs}: Round, job: JobEntry): boolean => {
	const waitedMs = nowMs - job.queuedAtMs;
	if (job.missing !== undefined || job.isFinal || job.reserveAtMs > nowMs || waitedMs < settings.reserveAfterMs || !(job.spec.isGang || isLarge(job))) {
		return false;
	}

	// Borrowed room is taken back for it by then; only if that does not help, it waits for ends.
	const canBeReturned = quotas.hasBorrower() && quotas.hasQuotaFor(job.spec.team, job.need);
	return !canBeReturned || waitedMs >= patience * Math.max(settings.reserveAfterMs, settings.quotaReturnMs);
};

const isLarge = ({need, spec}: JobEntry): boolean => spec.taskCount > 0 && getDominantShare(need, largeUnit) >= largeShare;

// About a worker of today; on larger ones the share only becomes more cautious.
const largeUnit: Resources = {processors: 16, memoryMb: 61_440, accelerators: 8};

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
