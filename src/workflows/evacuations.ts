/**
Folds operators' requests to evacuate failure domains.
*/
import {type Evacuations} from '../types/site.ts';

/** The fold. Offsets decide, so it never goes back. */
export class EvacuationFold {
	#current: Evacuations = {asOf: -1, failureDomains: []};

	get current(): Evacuations {
		return this.#current;
	}

	/** Takes one request, or its removal. */
	take(failureDomain: string, isRequested: boolean, offset: number): void {
		if (offset <= this.#current.asOf) {
			return;
		}

		const others = this.#current.failureDomains.filter(name => name !== failureDomain);
		this.#current = {asOf: offset, failureDomains: isRequested ? [...others, failureDomain] : others};
	}

	/** Takes all requests in force: a removal whose record is gone shows only by what is missing. */
	takeAll(failureDomains: string[], endOffset: number): void {
		if (endOffset > this.#current.asOf) {
			this.#current = {asOf: endOffset - 1, failureDomains};
		}
	}
}
