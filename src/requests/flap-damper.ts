/**
Holds down hosts that come and go: each flap adds a penalty that decays with a half-life.
*/
import {type Clock} from '../types/clock.ts';

/** When a host is held down. */
export type FlapPolicy = {
	/** Penalty from which a host is held down; one flap adds one. */
	holdAt: number;
	/** Penalty below which it is let back. */
	releaseAt: number;
	halfLifeMs: number;
};

type Score = {
	penalty: number;
	atMs: number;
	isHeld: boolean;
	/** Let back, and not yet trusted: a flap now counts double. */
	isProbing: boolean;
};

const maxPenaltyFactor = 4;
const forgottenPenalty = 0.1;

/** Scores the flaps of hosts. */
export class FlapDamper {
	readonly #scores = new Map<string, Score>();
	readonly #clock: Clock;
	readonly #policy: FlapPolicy;

	constructor(clock: Clock, policy: FlapPolicy) {
		this.#clock = clock;
		this.#policy = policy;
	}

	/** Counts an end that was not announced. */
	noteFlap(id: string): void {
		const score = this.#getDecayed(id) ?? {
			penalty: 0, atMs: this.#clock.monotonicMs(), isHeld: false, isProbing: false,
		};
		const {holdAt} = this.#policy;
		// Bounded: a host that flapped all night is let back in the morning within a few half-lives.
		score.penalty = Math.min(score.penalty + (score.isProbing ? 2 : 1), holdAt * maxPenaltyFactor);
		score.isHeld ||= score.penalty >= holdAt;
		this.#scores.set(id, score);
	}

	/** Tells whether the host gets no work because of its flaps. */
	isHeldDown(id: string): boolean {
		return this.#scores.size > 0 && (this.#getDecayed(id)?.isHeld ?? false);
	}

	/** How many hosts are held down. */
	countHeld(): number {
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

		if (score.penalty < forgottenPenalty) {
			this.#scores.delete(id);
			return undefined;
		}

		return score;
	}
}
