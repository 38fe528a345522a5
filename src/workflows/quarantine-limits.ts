/**
Limits of the quarantine: how many workers suspects may hold, and which suspects may be tried at the same time.

At most one of the jobs on a crashed worker is likely to have caused the crash. Trying a task of each at once therefore costs one more worker at
most, while suspects of several crashes cost one each.
*/
import {hasCrashedInQuarantine} from './crash-attribution.ts';
import {type LiveTask} from './live-model.ts';

/** Share of the workers that may be held by suspects or unresponsive at the same time, while all suspects start in time. */
const maxHeldShare = 0.1;
/** Share of the workers that suspects may hold if they would start too late otherwise; the others are left to all other tasks. */
const maxUrgentShare = 0.5;
/** Suspects are tried a few at a time once tasks of so many jobs have crashed workers by themselves. */
const minCauses = 2;

/** What the number of workers for suspects depends on. */
export type SuspectLoad = {
	workers: number;
	/** Workers that suspects hold. */
	closed: number;
	/** Workers that do not answer and are not held. */
	unresponsive: number;
	/** Workers that do not answer, held or not: suspects may have crashed the held ones. */
	away: number;
	/** Total length of the quarantines of the waiting suspects. */
	quarantineMs: number;
	/** Time within which they should start. */
	leftMs: number;
};

/** Number of workers that suspects may still take. `isUrgent`: as many as they need to start in time, unless too many workers are away. */
export const countFreeWorkers = ({workers, closed, unresponsive, away, quarantineMs, leftMs}: SuspectLoad, isUrgent: boolean): number => {
	const share = Math.ceil(maxHeldShare * workers);
	const ordinary = share - closed - unresponsive;
	const urgent = isUrgent && away < share ? Math.min(Math.ceil(quarantineMs / leftMs), Math.floor(maxUrgentShare * workers)) - closed : 0;
	const free = Math.max(ordinary, urgent);
	return closed === 0 ? Math.max(1, free) : free;
};

/** Number of crashes whose suspects may be tried at the same time: each may cost another worker. */
export const countFreeCrashes = ({workers, unresponsive}: Pick<SuspectLoad, 'workers' | 'unresponsive'>): number =>
	Math.max(1, Math.ceil(maxHeldShare * workers) - unresponsive);

/** Jobs whose tasks have crashed workers by themselves, while there are suspects. */
export class CrashCauses {
	readonly #jobs = new Set<string>();

	/** Whether there are so many that further suspects are likely to be causes as well. */
	get areMany(): boolean {
		return this.#jobs.size >= minCauses;
	}

	/** Records the crashes of a suspect. */
	record({ref, crashes}: Pick<LiveTask, 'ref' | 'crashes'>): void {
		if (crashes.length > 1 && hasCrashedInQuarantine(crashes)) {
			this.#jobs.add(ref.workflowId);
		}
	}

	clear(): void {
		this.#jobs.clear();
	}
}
