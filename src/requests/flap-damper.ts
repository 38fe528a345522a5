/**
Holds down hosts that fail and return repeatedly: each flap adds a penalty that decays with a half-life.
*/
import {type Clock} from '../types/clock.ts';

/** When a host is held down. */
export type FlapPolicy = {
	/** Penalty from which a host is held down; one flap adds one. */
	holdAt: number;
	/** Penalty below which it is released. */
	releaseAt: number;
	halfLifeMs: number;
};

type Score = {
	penalty: number;
	atMs: number;
	isHeld: boolean;
	/** Released after a hold-down, with a penalty left: a flap now counts double. */
	isProbing: boolean;
};

const maxPenaltyFactor = 4;
const negligiblePenalty = 0.1;

/** Tracks the flap penalties of hosts. */
export class FlapDamper {
	readonly #scores = new Map<string, Score>();
	readonly #clock: Clock;
	readonly #policy: FlapPolicy;

	constructor(clock: Clock, policy: FlapPolicy) {
		this.#clock = clock;
		this.#policy = policy;
	}

	/** Counts a failure that the host did not announce. */
	recordFlap(id: string): void {
		const score = this.#getDecayed(id) ?? {
			penalty: 0, atMs: this.#clock.monotonicMs(), isHeld: false, isProbing: false,
		};
		const {holdAt} = this.#policy;
		// Bounded, so that a host that flapped for a long time is released within a few half-lives after it becomes stable.
		score.penalty = Math.min(score.penalty + (score.isProbing ? 2 : 1), holdAt * maxPenaltyFactor);
		score.isHeld ||= score.penalty >= holdAt;
		this.#scores.set(id, score);
	}

	/** Tells whether the host gets no work because of its flaps. */
	isHeldDown(id: string): boolean {
		return this.#scores.size > 0 && (this.#getDecayed(id)?.isHeld ?? false);
	}

	/** Counts the hosts that are held down. */
	countHeldDown(): number {
		return [...this.#scores.keys()].filter(id => this.isHeldDown(id)).length;
	}

	#getDecayed(id: string): Score | undefined {
		const score = this.#scores.get(id);
		if (!score) {
			return undefined;
		}

		const nowMs = this.#clock.monotonicMs();
		score.penalty *= 0.5 ** ((nowMs - score.atMs) / this.#policy.halfLifeMs);
		score.atMs = nowMs;
		if (score.isHeld && score.penalty < this.#policy.releaseAt) {
			score.isHeld = false;
			score.isProbing = true;
		}

		if (score.penalty < negligiblePenalty) {
			this.#scores.delete(id);
			return undefined;
		}

		return score;
	}
}
