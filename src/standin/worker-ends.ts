/**
Ends that a stand-in worker lists until its agent has acknowledged them.
*/
import {type EndedRow} from '../types/fleet.ts';
import {type EndedRun} from '../types/workflows.ts';

/** Ends of one incarnation. */
export class WorkerEnds {
	#rows: EndedRow[] = [];
	#lastNumber = 0;

	get count(): number {
		return this.#rows.length;
	}

	add(end: EndedRun): void {
		this.#rows.push({number: ++this.#lastNumber, ...end});
	}

	/** Lists the first ends. */
	list(maxCount: number): EndedRow[] {
		return this.#rows.slice(0, maxCount);
	}

	/** Forgets ends up to the number; returns them. */
	forget(upTo: number): EndedRow[] {
		const forgotten = this.#rows.filter(({number}) => number <= upTo);
		this.#rows = this.#rows.filter(({number}) => number > upTo);
		return forgotten;
	}
}
