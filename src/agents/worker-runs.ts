/**
What an agent knows of the runs on its worker: the last listing, starts answered since, and starts not yet resolved.
*/
import {type EndedRow, type RunningRow, type WorkerListing} from '../types/fleet.ts';

/** A run that may have been on the worker at a time. */
export type AboardRun = {
	taskId: string;
	run: number;
	/** Time since its start was sent; of a run that this life of the agent did not start, since it was first listed. */
	ageMs: number;
};

type Starting = {
	taskId: string;
	run: number;
	/** On the worker's clock: after this the worker refuses the start as late. */
	goodUntilMs: number;
	isInFlight: boolean;
};

const getKey = (taskId: string, run: number): string => `${taskId}#${run}`;

/** Runs of one incarnation of a worker. */
export class WorkerRuns {
	#running = new Map<string, RunningRow>();
	#ended: EndedRow[] = [];
	readonly #starting = new Map<string, Starting>();
	/** Starts that were answered, with the time; a listing that was asked for earlier may lack them. */
	readonly #answered = new Map<string, {row: RunningRow; atMs: number}>();
	/** When starts were sent, or runs of an earlier life of the agent first listed. */
	readonly #sinceMs = new Map<string, number>();
	#isListed = false;

	/** Whether the worker was listed once. */
	get isListed(): boolean {
		return this.#isListed;
	}

	/** Running runs. */
	get running(): RunningRow[] {
		return [...this.#running.values()];
	}

	/** Ends that the worker still lists. */
	get ended(): EndedRow[] {
		return this.#ended;
	}

	/** Starts that may still begin. */
	get starting(): Array<{taskId: string; run: number}> {
		return [...this.#starting.values()].map(({taskId, run}) => ({taskId, run}));
	}

	/** Highest number of an end that is listed. */
	get lastEnd(): number {
		return this.#ended.at(-1)?.number ?? 0;
	}

	/** Runs that are there, or may be, with their ages at the time. */
	getAboard(atMs: number): AboardRun[] {
		const aboard = new Map<string, {taskId: string; run: number}>([...this.#running, ...this.#starting]);
		return [...aboard].map(([key, {taskId, run}]) => ({taskId, run, ageMs: Math.max(0, atMs - (this.#sinceMs.get(key) ?? atMs))}));
	}

	noteSent(taskId: string, run: number, {goodUntilMs, nowMs}: {goodUntilMs: number; nowMs: number}): void {
		const key = getKey(taskId, run);
		this.#sinceMs.set(key, nowMs);
		this.#starting.set(key, {
			taskId, run, goodUntilMs, isInFlight: true,
		});
	}

	/** The worker answered: the run is there, or will not be. */
	noteAnswered(taskId: string, run: number, isThere: boolean, nowMs: number): void {
		const key = getKey(taskId, run);
		this.#starting.delete(key);
		if (isThere && !this.#running.has(key) && !this.#ended.some(row => row.taskId === taskId && row.run === run)) {
			const row = {
				taskId, run, checkpoint: '', percent: 0, recent: 0,
			};
			this.#answered.set(key, {row, atMs: nowMs});
			this.#running.set(key, row);
		}
	}

	/** No answer: the start stays open until a listing settles it. */
	noteUnanswered(taskId: string, run: number): void {
		const starting = this.#starting.get(getKey(taskId, run));
		if (starting) {
			starting.isInFlight = false;
		}
	}

	/** Takes a listing that was asked for at the time. True when runs or ends differ from what was known. */
	take(listing: WorkerListing, askedAtMs: number): boolean {
		const running = new Map(listing.running.map(row => [getKey(row.taskId, row.run), row]));
		const endedKeys = new Set(listing.ended.map(row => getKey(row.taskId, row.run)));
		for (const [key, {row, atMs}] of this.#answered) {
			if (atMs < askedAtMs || endedKeys.has(key) || running.has(key)) {
				this.#answered.delete(key);
			} else {
				running.set(key, row);
			}
		}

		const hadStarting = this.#starting.size;
		for (const [key, {goodUntilMs, isInFlight}] of this.#starting) {
			if (running.has(key) || endedKeys.has(key) || (!isInFlight && listing.clockMs > goodUntilMs)) {
				this.#starting.delete(key);
			}
		}

		this.#dateRuns(running, askedAtMs);
		const isChanged = !this.#isListed || hadStarting !== this.#starting.size || running.size !== this.#running.size
			|| (listing.ended.at(-1)?.number ?? 0) !== this.lastEnd || listing.ended.length !== this.#ended.length
			|| [...running.keys()].some(key => !this.#running.has(key));
		this.#running = running;
		this.#ended = listing.ended;
		this.#isListed = true;
		return isChanged;
	}

	#dateRuns(running: Map<string, RunningRow>, atMs: number): void {
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
