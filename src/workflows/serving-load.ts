/**
The load of serving tasks, as their tail latency tells it.

Near the target a tail grows with 1 / (1 - load). What neighbours add to the load is a sum, what they add to the tail is not:
decisions are made in load.
*/

/**
Share of its target that a tail has at rest. Another share scales all loads alike and shifts where they begin; which tails are
above their targets stays the same.
*/
const restRatio = 1 / 6;

/** Load at a ratio of tail latency to target. */
export const getLoadAt = (ratio: number): number => ratio <= restRatio ? 0 : 1 - (restRatio / ratio);

/** At this load and above, the tail says only that there is too much. */
export const saturatedLoad = 0.95;

/** Before a job was heard. */
const unknownLoad = 0.5;
const unknownVariance = 0.2 ** 2;
/** How fast loads rise and fall. */
const driftVariancePerS = 0.12 ** 2;
/** Tails come in whole milliseconds and are rough: most reports lie within this of the load of their job. */
const noiseVariance = 0.06 ** 2;
const msPerS = 1000;
/** A load that fell by so much from its highest has gone through the top of a wave. */
const turnedBy = 0.1;
/** Estimates are off by so much, and one wave may go higher than the last. */
const peakSlack = 0.02;
/** A job that was not heard for so long is over, or somebody else's. */
const forgetMs = 60_000;

type JobLoad = {
	load: number;
	variance: number;
	atMs: number;
	/** Highest load so far. */
	peak: number;
	/** Whether the load has fallen from that peak, and not gone beyond it since: it is known how far its waves go. */
	hasTurned: boolean;
};

const getDrifted = ({variance, atMs}: JobLoad, nowMs: number): number => variance + (driftVariancePerS * (nowMs - atMs) / msPerS);

/** What a task reports, and what its neighbours are expected to add, with the variance of that. */
export type LoadReport = {
	job: string;
	load: number;
	added: number;
	addedVariance: number;
};

/**
Follows the load that each job brings by itself. All tasks of a job see the same waves: those with quiet neighbours tell
how much of the others' tails is their neighbours' doing.
*/
export class ServingLoads {
	readonly #jobs = new Map<string, JobLoad>();

	/** Load of the job's tasks without what their neighbours add. */
	get(job: string): number {
		return this.#jobs.get(job)?.load ?? unknownLoad;
	}

	/** How far the load may be off by now, squared. */
	getVariance(job: string, nowMs: number): number {
		const known = this.#jobs.get(job);
		return known ? getDrifted(known, nowMs) : unknownVariance;
	}

	/** How far the load may rise, at most by the rise given: at the top of its wave it does not rise any more. */
	getRise(job: string, mostRise: number): number {
		const known = this.#jobs.get(job);
		return known?.hasTurned ? Math.min(mostRise, Math.max(0, known.peak - known.load) + peakSlack) : mostRise;
	}

	/** Learns from a report; a job that was never heard takes its first as it is. */
	note({job, load, added, addedVariance}: LoadReport, nowMs: number): void {
		const own = Math.max(0, load - added);
		const known = this.#jobs.get(job) ?? {
			load: unknownLoad, variance: unknownVariance, atMs: nowMs, peak: 0, hasTurned: false,
		};
		const variance = getDrifted(known, nowMs);
		const gain = variance / (variance + addedVariance + noiseVariance);
		const newLoad = known.load + (gain * (own - known.load));
		const peak = Math.max(known.peak, newLoad);
		const isBeyond = newLoad > known.peak + peakSlack;
		this.#jobs.set(job, {
			load: newLoad, variance: variance * (1 - gain), atMs: nowMs, peak, hasTurned: !isBeyond && (known.hasTurned || newLoad < peak - turnedBy),
		});
	}

	/** Forgets jobs that are not heard any more. */
	prune(nowMs: number): void {
		for (const [job, {atMs}] of this.#jobs) {
			if (nowMs - atMs > forgetMs) {
				this.#jobs.delete(job);
			}
		}
	}
}
