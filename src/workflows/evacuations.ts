/**
Folds operators' requests to evacuate failure domains.
*/
import {type Evacuations} from '../types/site.ts';

/** Current evacuations. Records up to the offset already applied are ignored. */
export class EvacuationFold {
	#current: Evacuations = {asOf: -1, failureDomains: []};

	get current(): Evacuations {
		return this.#current;
	}

	/** Applies the record of a request or of its removal. */
	apply(failureDomain: string, isRequested: boolean, offset: number): void {
		if (offset <= this.#current.asOf) {
			return;
		}

		const others = this.#current.failureDomains.filter(name => name !== failureDomain);
		this.#current = {asOf: offset, failureDomains: isRequested ? [...others, failureDomain] : others};
	}

	/**
	Replaces all requests by those in effect at an offset. Once the record of a removal has been deleted, only the missing
	request shows it.
	*/
	replaceAll(failureDomains: string[], endOffset: number): void {
		if (endOffset > this.#current.asOf) {
			this.#current = {asOf: endOffset - 1, failureDomains};
		}
	}
}
