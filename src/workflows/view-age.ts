/**
How old an owner's view of the jobs may be when it starts something.
*/
import {orderGoodMs} from './agent-links.ts';
import {type WorkflowFollower} from './follower.ts';

/** What the age is judged by. */
export type ViewAgeOptions = {
	follower: WorkflowFollower;
	/** Time within which a cancelled job must have stopped. */
	cancelMs: number;
	/** When the newest heartbeat that the store has answered was sent. */
	getReachedAtMs: () => number;
	note: (event: string, fields: Record<string, unknown>) => void;
};

/** A start that is good for less than this is not worth its order: answers of agents take a while on busy hosts. */
const minGoodMs = 400;

/**
What others wrote since the last read that showed the end of the stream is not known: the job of a waiting task may be
cancelled. A start is good for no longer than the time that a cancelling may take from then on. With the store away nothing
can have been written: its last answer to a heartbeat, not the clock, tells how old the view is.
*/
export class ViewAge {
	readonly #options: ViewAgeOptions;
	#isTooOld = false;

	constructor(options: ViewAgeOptions) {
		this.#options = options;
	}

	/** How long a start that is ordered now may stay good. */
	getStartGoodMs(): number {
		return Math.min(orderGoodMs, this.#options.cancelMs - this.#getUnseenMs());
	}

	/** Whether nothing may be started now. */
	isTooOld(): boolean {
		const isTooOld = this.getStartGoodMs() < minGoodMs;
		if (isTooOld !== this.#isTooOld) {
			const {follower, note} = this.#options;
			this.#isTooOld = isTooOld;
			note(isTooOld ? 'starts held' : 'starts go on', {unseenMs: Math.round(this.#getUnseenMs()), offset: follower.fold.offset});
		}

		return isTooOld;
	}

	#getUnseenMs(): number {
		const {follower, getReachedAtMs} = this.#options;
		return getReachedAtMs() - follower.provenAtMs;
	}
}
