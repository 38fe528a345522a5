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

/**
What others wrote since the last read that showed the end of the stream is not known: the job of a waiting task may be
cancelled. The time that a cancelling may take, less the time that an order stays good, is left to a view. With the store
away nothing can have been written: its last answer to a heartbeat, not the clock, tells how old the view is.
*/
export class ViewAge {
	readonly #options: ViewAgeOptions;
	#isTooOld = false;

	constructor(options: ViewAgeOptions) {
		this.#options = options;
	}

	/** Whether nothing may be started now. */
	isTooOld(nowMs: number): boolean {
		const {follower, cancelMs, getReachedAtMs, note} = this.#options;
		const unseenMs = Math.min(getReachedAtMs(), nowMs) - follower.provenAtMs;
		const isTooOld = unseenMs > cancelMs - orderGoodMs;
		if (isTooOld !== this.#isTooOld) {
			this.#isTooOld = isTooOld;
			note(isTooOld ? 'starts held' : 'starts go on', {unseenMs: Math.round(unseenMs), offset: follower.fold.offset});
		}

		return isTooOld;
	}
}
