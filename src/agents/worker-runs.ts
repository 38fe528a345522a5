/**
The runs on a worker as its agent knows them: the latest listing, starts answered since, and starts with unknown outcome.
*/
import {type EndedRow, type RunningRow, type WorkerListing} from '../types/fleet.ts';

/** A run that was, or may have been, on the worker at a given time. */
export type ResidentRun = {
	taskId: string;
	run: number;
	/** Time since its start was sent or, if an earlier agent process started it, since it was first listed. */
	ageMs: number;
};

type PendingStart = {
	taskId: string;
	run: number;
	/** On the worker's clock: after this the worker refuses the start as too late. */
	validUntilMs: number;
	isInFlight: boolean;
};

const getKey = (taskId: string, run: number): string => `${taskId}#${run}`;

/** Runs of one incarnation of a worker. */
export class WorkerRuns {
	#running = new Map<string, RunningRow>();
	#ended: EndedRow[] = [];
	readonly #starting = new Map<string, PendingStart>();
	/** Accepted starts, with the time of the answer; a listing requested before that may lack them. */
	readonly #accepted = new Map<string, {row: RunningRow; atMs: number}>();
	/** When each start was sent or, for runs that an earlier agent process started, when the run was first listed. */
	readonly #sinceMs = new Map<string, number>();
	#hasListing = false;
	#isListed = false;
	#listings = 0;
	/** Whether runs are kept that are not in the newest listing, because it lacks some ends. */
	#hasUnlistedRuns = false;

	/** Whether a listing has been applied, be it one without all ends. */
	get hasListing(): boolean {
		return this.#hasListing;
	}

	/** Whether all runs are known that were on the worker when this process began: a listing with all ends has been applied. */
	get isListed(): boolean {
		return this.#isListed;
	}

	/** Number of listings applied; undefined: runs may be among the running ones that have ended, since the newest listing lacks some ends. */
	get listings(): number | undefined {
		return this.#hasUnlistedRuns ? undefined : this.#listings;
	}

	/** Running runs. */
	get running(): RunningRow[] {
		return [...this.#running.values()];
	}

	/** Ends that the worker still lists. */
	get ended(): EndedRow[] {
		return this.#ended;
	}

	/** Starts with unknown outcome: they may still take effect. */
	get starting(): Array<{taskId: string; run: number}> {
		return [...this.#starting.values()].map(({taskId, run}) => ({taskId, run}));
	}

	/** Highest number of the listed ends; 0: none is listed. */
	get lastEndNumber(): number {
		return this.#ended.at(-1)?.number ?? 0;
	}

	/** Gets the runs that are, or may be, on the worker, with their ages at the given time. */
	getResidentRuns(atMs: number): ResidentRun[] {
		const resident = new Map<string, {taskId: string; run: number}>([...this.#running, ...this.#starting]);
		return [...resident].map(([key, {taskId, run}]) => ({taskId, run, ageMs: Math.max(0, atMs - (this.#sinceMs.get(key) ?? atMs))}));
	}

	/** Removes the runs that another incarnation lists: it has executed the starts that were meant for this one. */
	removeListed({running, ended}: WorkerListing): void {
		for (const {taskId, run} of [...running, ...ended]) {
			this.#running.delete(getKey(taskId, run));
			this.#starting.delete(getKey(taskId, run));
		}
	}

	recordStartSent(taskId: string, run: number, {validUntilMs, nowMs}: {validUntilMs: number; nowMs: number}): void {
		const key = getKey(taskId, run);
		this.#sinceMs.set(key, nowMs);
		this.#starting.set(key, {
			taskId, run, validUntilMs, isInFlight: true,
		});
	}

	/** Records the worker's answer: the run has started, or never will. */
	recordStartAnswer(taskId: string, run: number, isStarted: boolean, nowMs: number): void {
		const key = getKey(taskId, run);
		this.#starting.delete(key);
		if (isStarted && !this.#running.has(key) && !this.#ended.some(row => row.taskId === taskId && row.run === run)) {
			const row = {
				taskId, run, checkpoint: '', percent: 0, recent: 0,
			};
			this.#accepted.set(key, {row, atMs: nowMs});
			this.#running.set(key, row);
		}
	}

	/** Records that a start got no answer: its outcome stays unknown until a listing shows it. */
	recordStartUnanswered(taskId: string, run: number): void {
		const starting = this.#starting.get(getKey(taskId, run));
		if (starting) {
			starting.isInFlight = false;
		}
	}

	/** Applies a listing that was requested at `sentAtMs`. Returns true if runs or ends differ from those known before. */
	applyListing(listing: WorkerListing, sentAtMs: number): boolean {
		const running = new Map(listing.running.map(row => [getKey(row.taskId, row.run), row]));
		const endedKeys = new Set(listing.ended.map(row => getKey(row.taskId, row.run)));
		for (const [key, {row, atMs}] of this.#accepted) {
			if (atMs < sentAtMs || endedKeys.has(key) || running.has(key)) {
				this.#accepted.delete(key);
			} else {
				running.set(key, row);
			}
		}

		if (listing.hasMoreEnds) {
			this.#keepUnlisted(running, endedKeys);
		}

		const startingBefore = this.#starting.size;
		for (const [key, {validUntilMs, isInFlight}] of this.#starting) {
			if (running.has(key) || endedKeys.has(key) || (!isInFlight && !listing.hasMoreEnds && listing.clockMs > validUntilMs)) {
				this.#starting.delete(key);
			}
		}

		this.#updateSince(running, sentAtMs);
		const isChanged = !this.#isListed || startingBefore !== this.#starting.size || running.size !== this.#running.size
			|| (listing.ended.at(-1)?.number ?? 0) !== this.lastEndNumber || listing.ended.length !== this.#ended.length
			|| [...running.keys()].some(key => !this.#running.has(key));
		this.#running = running;
		this.#ended = listing.ended;
		this.#listings++;
		this.#hasUnlistedRuns = listing.hasMoreEnds;
		this.#hasListing = true;
		this.#isListed ||= !listing.hasMoreEnds;
		return isChanged;
	}

	/** Keeps known runs that are not in a listing without all ends: they have ended, and how is listed later. */
	#keepUnlisted(running: Map<string, RunningRow>, endedKeys: Set<string>): void {
		for (const [key, row] of this.#running) {
			if (!endedKeys.has(key) && !running.has(key)) {
				running.set(key, row);
			}
		}
	}

	#updateSince(running: Map<string, RunningRow>, atMs: number): void {
		for (const key of this.#sinceMs.keys()) {
			if (!running.has(key) && !this.#starting.has(key)) {
				this.#sinceMs.delete(key);
			}
		}

		for (const key of running.keys()) {
			if (!this.#sinceMs.has(key)) {
				this.#sinceMs.set(key, atMs);
			}
		}
	}
}
