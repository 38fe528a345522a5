/**
Load of latency-critical tasks, derived from their tail latency.

Near the target, tail latency grows with 1 / (1 - load). Effects of neighbours add up in load but not in latency, so that
decisions are made in terms of load.
*/

/**
Tail latency of an idle task, as a share of its target. Another value scales all loads alike and shifts their origin;
which tails exceed their targets does not change.
*/
const idleRatio = 1 / 6;

/** Gets the load that a ratio of tail latency to target implies. */
export const getLoadAt = (ratio: number): number => ratio <= idleRatio ? 0 : 1 - (idleRatio / ratio);

/** From this load on, the tail shows only that the task is overloaded. */
export const saturatedLoad = 0.95;

/** Assumed for a job without reports. */
const unknownLoad = 0.5;
const unknownVariance = 0.2 ** 2;
/** Growth of the variance: how fast loads change. */
const driftVariancePerS = 0.12 ** 2;
/** Readings are whole milliseconds and noisy: most imply a load within this distance of the job's load. */
const noiseVariance = 0.06 ** 2;
const msPerS = 1000;
/** A load that fell this far below its peak has passed the crest of a wave. */
const passedPeakBy = 0.1;
/** Tolerance for estimation errors, and for a wave that exceeds the last. */
const peakSlack = 0.02;
/** A job without reports for this long has finished, or another owner runs it. */
const retentionMs = 60_000;

type JobLoad = {
	load: number;
	variance: number;
	atMs: number;
	/** Highest load so far. */
	peak: number;
	/** Whether the load has fallen from that peak and not exceeded it since: the height of its waves is known. */
	hasPassedPeak: boolean;
};

const getVarianceAt = ({variance, atMs}: JobLoad, nowMs: number): number => variance + (driftVariancePerS * (nowMs - atMs) / msPerS);

/** Load that a task reports, and what its neighbours are expected to add, with the variance of that. */
export type LoadReport = {
	job: string;
	load: number;
	added: number;
	addedVariance: number;
};

/**
Tracks the load of each latency-critical job without interference. All tasks of a job see the same waves: tasks whose
neighbours do not interfere show how much of the other tasks' tail latency is caused by neighbours.
*/
export class LatencyCriticalLoadTracker {
	readonly #jobs = new Map<string, JobLoad>();

	/** Load of the job's tasks without what their neighbours add. */
	get(job: string): number {
		return this.#jobs.get(job)?.load ?? unknownLoad;
	}

	/** Variance of the load at this time. */
	getVariance(job: string, nowMs: number): number {
		const known = this.#jobs.get(job);
		return known ? getVarianceAt(known, nowMs) : unknownVariance;
	}

	/** Expected rise of the load, at most `maxRise`; smaller near the peak of a job whose waves are known. */
	getRise(job: string, maxRise: number): number {
		const known = this.#jobs.get(job);
		return known?.hasPassedPeak ? Math.min(maxRise, Math.max(0, known.peak - known.load) + peakSlack) : maxRise;
	}

	/** Learns from a report; the first one of a job replaces most of the assumed load. */
	observe({job, load, added, addedVariance}: LoadReport, nowMs: number): void {
		const baseLoad = Math.max(0, load - added);
		const known = this.#jobs.get(job) ?? {
			load: unknownLoad, variance: unknownVariance, atMs: nowMs, peak: 0, hasPassedPeak: false,
		};
		const variance = getVarianceAt(known, nowMs);
		const gain = variance / (variance + addedVariance + noiseVariance);
		const newLoad = known.load + (gain * (baseLoad - known.load));
		const peak = Math.max(known.peak, newLoad);
		const isAbovePeak = newLoad > known.peak + peakSlack;
		this.#jobs.set(job, {
			load: newLoad, variance: variance * (1 - gain), atMs: nowMs, peak, hasPassedPeak: !isAbovePeak && (known.hasPassedPeak || newLoad < peak - passedPeakBy),
		});
	}

	/** Removes jobs that are no longer reported. */
	prune(nowMs: number): void {
		for (const [job, {atMs}] of this.#jobs) {
			if (nowMs - atMs > retentionMs) {
				this.#jobs.delete(job);
			}
		}
	}
}
