/**
What images that fill add to the load of images that serve, learned by pairs: a Kalman filter that keeps the diagonal alone. Effects
are loads that a whole worker of the filling image adds.
*/

/** Effect of a pair, and how far it may be off. */
export type Effect = {mean: number; deviation: number};

/** Share of a worker's processors that one image used. */
export type UsedShare = {image: string; share: number};

type Pair = {mean: number; variance: number};

const priorMean = 0.2;
const priorVariance = 2 ** 2;
/** Harm changes within seconds: what was learned fades. */
const halfLifeMs = 60_000;
const fadeEveryMs = 3000;
/** How fast the mean of an image over all that it stands beside follows its pairs. */
const usualRate = 0.05;
/** One wild report moves an effect no more than so many deviations would. */
const clipDeviations = 3;

/** Learned effects. */
export class PairEffects {
	readonly #servers = new Map<string, Map<string, Pair>>();
	/** Mean effect of an image, for pairs that were not seen. */
	readonly #usual = new Map<string, number>();
	#fadedAtMs: number | undefined;

	/** Effect of a pair; of one that was not seen, what the image does to others. */
	get(server: string, filler: string): Effect {
		const pair = this.#servers.get(server)?.get(filler);
		return pair
			? {mean: pair.mean, deviation: Math.sqrt(pair.variance)}
			: {mean: this.#usual.get(filler) ?? priorMean, deviation: Math.sqrt(priorVariance)};
	}

	/** Whether something was learned of the pair. */
	isSeen(server: string, filler: string): boolean {
		return this.#servers.get(server)?.has(filler) ?? false;
	}

	/** Takes what another process has learned. */
	set(server: string, filler: string, {mean, deviation}: Effect): void {
		this.#open(server).set(filler, {mean, variance: Math.min(priorVariance, deviation ** 2)});
	}

	/**
	Learns from the load that was added to a server by all that filled beside it. `otherVariance`: how far it may be off for other reasons than
	the effects, the load of the server itself and the report.
	*/
	learn(server: string, used: UsedShare[], added: number, otherVariance: number): void {
		const pairs = this.#open(server);
		let surprise = added;
		let variance = otherVariance;
		for (const {image, share} of used) {
			if (!pairs.has(image)) {
				pairs.set(image, {mean: this.get(server, image).mean, variance: priorVariance});
			}

			const pair = pairs.get(image)!;
			surprise -= share * pair.mean;
			variance += (share ** 2) * pair.variance;
		}

		const bound = clipDeviations * Math.sqrt(variance);
		const clipped = Math.max(-bound, Math.min(bound, surprise));
		for (const {image, share} of used) {
			const pair = pairs.get(image)!;
			const gain = share * pair.variance / variance;
			pair.mean += gain * clipped;
			pair.variance *= 1 - (gain * share);
			const usual = this.#usual.get(image) ?? priorMean;
			this.#usual.set(image, usual + (usualRate * (pair.mean - usual)));
		}
	}

	/** Lets what was learned fade. */
	fade(nowMs: number): void {
		this.#fadedAtMs ??= nowMs;
		const passedMs = nowMs - this.#fadedAtMs;
		if (passedMs < fadeEveryMs) {
			return;
		}

		this.#fadedAtMs = nowMs;
		const kept = 2 ** (-passedMs / halfLifeMs);
		for (const pairs of this.#servers.values()) {
			for (const pair of pairs.values()) {
				pair.variance = priorVariance + ((pair.variance - priorVariance) * kept);
			}
		}
	}

	/** Forgets an image that fills. */
	forgetFiller(filler: string): void {
		this.#usual.delete(filler);
		for (const pairs of this.#servers.values()) {
			pairs.delete(filler);
		}
	}

	/** Forgets an image that serves. */
	forgetServer(server: string): void {
		this.#servers.delete(server);
	}

	#open(server: string): Map<string, Pair> {
		let pairs = this.#servers.get(server);
		if (!pairs) {
			pairs = new Map();
			this.#servers.set(server, pairs);
		}

		return pairs;
	}
}
