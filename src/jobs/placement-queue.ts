/**
Queues of waiting tasks: by team and priority, with a separate queue for urgent work.
*/
import {TaskPhase, type JobEntry, type TaskEntry} from './placement-state.ts';

const minCompactSize = 1024;

/** Jobs with waiting tasks, by priority and age. */
export class WaitingQueue {
	/** Jobs at or above the urgent priority, of all teams. */
	readonly urgent: JobEntry[] = [];
	readonly #teams = new Map<string, JobEntry[]>();
	readonly #urgentPriority: number;
	#size = 0;

	constructor(urgentPriority: number) {
		this.#urgentPriority = urgentPriority;
	}

	/** Number of waiting tasks. */
	get size(): number {
		return this.#size;
	}

	/** Jobs that are not urgent, by team. */
	get teams(): ReadonlyMap<string, JobEntry[]> {
		return this.#teams;
	}

	isUrgent(job: JobEntry): boolean {
		return job.spec.priority >= this.#urgentPriority;
	}

	/** Adds a waiting task at the end of its job. */
	add(entry: TaskEntry): void {
		entry.job.waiting.push(entry);
		this.#countWaiting(entry);
	}

	/** Puts a task back at the front of its job. */
	putBack(entry: TaskEntry): void {
		const {job} = entry;
		if (job.head > 0) {
			job.waiting[--job.head] = entry;
		} else {
			job.waiting.unshift(entry);
		}

		this.#countWaiting(entry);
	}

	/** Removes a task from the counts; the caller sets its phase. */
	remove(entry: TaskEntry): void {
		const {job} = entry;
		this.#size--;
		job.waitingCount--;
		if (job.waitingCount > 0) {
			return;
		}

		job.waiting.length = 0;
		job.head = 0;
		const list = this.#getList(job);
		list.splice(list.indexOf(job), 1);
		if (list.length === 0 && !this.isUrgent(job)) {
			this.#teams.delete(job.spec.team);
		}
	}

	/** Gets the first waiting task of the job. */
	peek(job: JobEntry): TaskEntry | undefined {
		while (job.head < job.waiting.length) {
			const entry = job.waiting[job.head]!;
			if (entry.phase === TaskPhase.Waiting) {
				return entry;
			}

			job.head++;
		}

		return undefined;
	}

	/** Lists all waiting tasks of the job. */
	listWaiting(job: JobEntry): TaskEntry[] {
		const waiting = job.waiting.slice(job.head).filter(({phase}) => phase === TaskPhase.Waiting);
		return [...new Set(waiting)];
	}

	#countWaiting(entry: TaskEntry): void {
		const {job} = entry;
		entry.phase = TaskPhase.Waiting;
		this.#size++;
		job.waitingCount++;
		if (job.head > minCompactSize && job.head > job.waiting.length / 2) {
			job.waiting.splice(0, job.head);
			job.head = 0;
		}

		if (job.waitingCount > 1) {
			return;
		}

		const list = this.#getList(job);
		list.splice(findPosition(list, job), 0, job);
	}

	#getList(job: JobEntry): JobEntry[] {
		if (this.isUrgent(job)) {
			return this.urgent;
		}

		let list = this.#teams.get(job.spec.team);
		if (!list) {
			list = [];
			this.#teams.set(job.spec.team, list);
		}

		return list;
	}
}

const compare = (a: JobEntry, b: JobEntry): number =>
	b.spec.priority - a.spec.priority || a.queuedAtMs - b.queuedAtMs || a.sequence - b.sequence;

const findPosition = (list: JobEntry[], job: JobEntry): number => {
	let low = 0;
	let high = list.length;
	while (low < high) {
		const middle = (low + high) >> 1;
		if (compare(list[middle]!, job) < 0) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
};
