/**
Limits how many workers run a best-effort image beside a latency-critical image at the same time while the effect is
unknown.

Otherwise a job with many tasks of a new image would start on all workers at once and interfere on each, although one
worker shows the effect half a second later. Its other tasks wait for the first reports, or go where the image is known
not to interfere.
*/
import {type BestEffortInterference} from './best-effort-interference.ts';
import {type Candidate} from './placement-candidates.ts';

/** A single report may be wrong; two workers that agree are reliable. */
const maxTrials = 2;

type TrialCount = {isKnown: boolean; trials: number};

/** Counts trials in a scheduling cycle. */
export class InterferenceTrials {
	readonly #interference: BestEffortInterference;
	/** By best-effort image and latency-critical image. */
	readonly #counts = new Map<string, Map<string, TrialCount>>();

	constructor(interference: BestEffortInterference, candidates: Candidate[]) {
		this.#interference = interference;
		for (const candidate of candidates) {
			for (const {image} of candidate.demands) {
				this.add(candidate, image);
			}
		}
	}

	/** Whether a task of the image may start on the worker without exceeding the limit. */
	mayStart({latencyCriticalLoads}: Candidate, image: string): boolean {
		return latencyCriticalLoads.every(load => {
			const {isKnown, trials} = this.#get(image, load.image);
			return isKnown || trials < maxTrials;
		});
	}

	/** Counts the image as a trial on the worker; each further task on it counts again within the cycle. */
	add({latencyCriticalLoads}: Candidate, image: string): void {
		for (const latencyCriticalImage of new Set(latencyCriticalLoads.map(load => load.image))) {
			this.#get(image, latencyCriticalImage).trials++;
		}
	}

	#get(bestEffortImage: string, latencyCriticalImage: string): TrialCount {
		let pairs = this.#counts.get(bestEffortImage);
		if (!pairs) {
			pairs = new Map();
			this.#counts.set(bestEffortImage, pairs);
		}

		let pair = pairs.get(latencyCriticalImage);
		if (!pair) {
			pair = {isKnown: this.#interference.isKnown(latencyCriticalImage, bestEffortImage), trials: 0};
			pairs.set(latencyCriticalImage, pair);
		}

		return pair;
	}
}
