/**
Limits how stale an owner's view of the jobs may be when it starts a task.
*/
import {orderValidityMs} from './agent-links.ts';
import {type WorkflowFollower} from './follower.ts';

/** Options of the staleness check. */
export type ViewStalenessOptions = {
	follower: WorkflowFollower;
	/** Time within which a cancelled job must have stopped. */
	cancelMs: number;
	/** When the last answered heartbeat to the store was sent. */
	getHeartbeatAtMs: () => number;
	note: (event: string, fields: Record<string, unknown>) => void;
};

/** No starts are ordered that would be valid for less than this: on busy hosts they would expire before they are carried out. */
const minValidityMs = 400;

/**
Staleness of the view of one owner. A job may have been cancelled since the last read that reached the end of the stream, so a
start is valid only within the time that a cancellation may take, counted from that read. The staleness is measured to the
last answered heartbeat, not to the current time: while the store does not answer, nothing can be written to it.
*/
export class ViewStaleness {
	readonly #options: ViewStalenessOptions;
	#isStale = false;

	constructor(options: ViewStalenessOptions) {
		this.#options = options;
	}

	/** How long a start that is ordered now may stay valid. */
	getStartValidityMs(): number {
		return Math.min(orderValidityMs, this.#options.cancelMs - this.#getStalenessMs());
	}

	/** Whether the view is too stale to start anything. */
	isTooStale(): boolean {
		const isTooOld = this.getStartValidityMs() < minValidityMs;
		if (isTooOld !== this.#isStale) {
			const {follower, note} = this.#options;
			this.#isStale = isTooOld;
			note(isTooOld ? 'starts held' : 'starts go on', {unseenMs: Math.round(this.#getStalenessMs()), offset: follower.fold.offset});
		}

		return isTooOld;
	}

	#getStalenessMs(): number {
		const {follower, getHeartbeatAtMs} = this.#options;
		return getHeartbeatAtMs() - follower.caughtUpAtMs;
	}
}
