/**
Bounds how many workers try at once what an image that fills does to one that serves, while that is not known.

A wide job of a new image would else start on all workers in the same moment, and learn on each of them what one would have
shown half a second later. Its other tasks wait for the first reports, or go where the image is known to leave users alone.
*/
import {type FillHarm} from './fill-harm.ts';
import {type Candidate} from './placement-candidates.ts';

/** One report may be off; two workers that agree are not. */
const maxTrials = 2;

type Pair = {isKnown: boolean; trials: number};

/** Trials in a scheduling cycle. */
export class Trials {
	readonly #harm: FillHarm;
	/** By image that fills and image that serves. */
	readonly #pairs = new Map<string, Map<string, Pair>>();

	constructor(harm: FillHarm, candidates: Candidate[]) {
		this.#harm = harm;
		for (const candidate of candidates) {
			for (const {image} of candidate.demands) {
				this.note(candidate, image);
			}
		}
	}

	/** Whether a task of the image may start there without one trial too many. */
	mayStart({servers}: Candidate, image: string): boolean {
		return servers.every(server => {
			const {isKnown, trials} = this.#get(image, server.image);
			return isKnown || trials < maxTrials;
		});
	}

	/** Notes that the image fills there; a task more on the same worker counts as one more trial within the cycle. */
	note({servers}: Candidate, image: string): void {
		for (const serverImage of new Set(servers.map(server => server.image))) {
			this.#get(image, serverImage).trials++;
		}
	}

	#get(filler: string, server: string): Pair {
		let pairs = this.#pairs.get(filler);
		if (!pairs) {
			pairs = new Map();
			this.#pairs.set(filler, pairs);
		}

		let pair = pairs.get(server);
		if (!pair) {
			pair = {isKnown: this.#harm.isKnown(server, filler), trials: 0};
			pairs.set(server, pair);
		}

		return pair;
	}
}
