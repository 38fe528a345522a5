/**
What the jobs stream holds for the admission of jobs: the newest owner's forecast for each service, and refused jobs by id.

A submission that was sent without knowledge of a refusal that precedes it is void: it belongs to an attempt from before the caller was
answered that the job is not run.
*/
import {type BacklogForecast} from '../types/admission.ts';

/** A forecast as it was read. */
export type ReadForecast = {
	forecast: BacklogForecast;
	/** Reading of the monotonic clock before it was written: it may be read long after. */
	writtenAfterMs: number;
};

/** Refusal of a job. */
export type RefusedJob = {
	/** Offset of the newest refusal. */
	offset: number;
	/** When the first one was read, on the monotonic clock; undefined: not known. */
	firstReadAtMs: number | undefined;
};

/** Callers of older refusals return long before as many new ones come. */
const maxRefusals = 10_000;

/** Admission records of one partition. */
export class AdmissionRecords {
	/** Forecasts of the newest owner by service, as far as it has published them. */
	readonly forecasts = new Map<string, ReadForecast>();
	/** Called when a submission is void. */
	onVoidSubmission: ((id: string) => void) | undefined;
	readonly #refusals = new Map<string, RefusedJob>();

	/** Applies a forecast, unless it is of an earlier owner than the newest one, which has that epoch, or for no service in particular. */
	applyForecast(forecast: BacklogForecast, newestEpoch: number, writtenAfterMs: number | undefined): void {
		if (forecast.service !== undefined && forecast.epoch >= newestEpoch && writtenAfterMs !== undefined) {
			this.forecasts.set(forecast.service, {forecast, writtenAfterMs});
		}
	}

	/** Drops the forecasts of earlier owners. */
	handleClaim(epoch: number): void {
		for (const [service, {forecast}] of this.forecasts) {
			if (forecast.epoch < epoch) {
				this.forecasts.delete(service);
			}
		}
	}

	/** Adds a refusal of a job that is not in the stream. */
	addRefusal(id: string, offset: number, readAtMs: number | undefined): void {
		const firstReadAtMs = this.#refusals.get(id)?.firstReadAtMs ?? readAtMs;
		// A map keeps the place of a key that is set again, and the first place is the next to be forgotten.
		this.#refusals.delete(id);
		this.#refusals.set(id, {offset, firstReadAtMs});
		if (this.#refusals.size > maxRefusals) {
			this.#refusals.delete(this.#refusals.keys().next().value!);
		}
	}

	getRefusal(id: string): RefusedJob | undefined {
		return this.#refusals.get(id);
	}

	/**
	Whether a submission counts. `asOf`: its entry had read the stream up to this offset when the attempt came; undefined: the entry is of
	a version that knows no refusals.
	*/
	acceptSubmission(id: string, asOf: number | undefined): boolean {
		const refused = this.#refusals.get(id);
		if (refused !== undefined && asOf !== undefined && asOf <= refused.offset) {
			this.onVoidSubmission?.(id);
			return false;
		}

		this.#refusals.delete(id);
		return true;
	}
}
