/**
Callers of a simulated entry: they submit jobs, and return after the time that a refusal states.
*/
import {type Clock} from '../types/clock.ts';
import {SubmitOutcome, type JobApi} from '../types/job-api.ts';
import {JobOutcome} from './job-outcome.ts';
import {type GeneratedJob} from './scheduling-load.ts';

/** What callers were answered. */
export type SubmissionResult = {
	/** Number of refusals. */
	refusals: number;
	/** How the jobs that were refused at least once ended. */
	refusedJobs: Map<string, JobOutcome>;
};

/** Callers give a refused job up after this many attempts. */
const maxAttempts = 5;
const submitTimeoutMs = 2500;

/** Submits a job at an entry, again after each refusal. */
export const submitJob = (api: Pick<JobApi, 'submit'>, job: GeneratedJob, {clock, result}: {clock: Clock; result: SubmissionResult}): void => {
	const {id, spec, kind: {name, ...kind}} = job;
	const submit = async (attempt: number): Promise<void> => {
		const {outcome, retryAfterMs} = await api.submit({
			name, host: '', pathPrefix: '', service: 'desk', timeoutMs: submitTimeoutMs, priority: kind.priority, maxAttempts: kind.maxAttempts, stretch: kind.stretch, targetLatencyMs: kind.targetLatencyMs,
		}, id, spec, submitTimeoutMs);
		if (outcome !== SubmitOutcome.Refused) {
			return;
		}

		result.refusals++;
		result.refusedJobs.set(id, JobOutcome.Open);
		if (attempt < maxAttempts) {
			clock.setTimer(() => {
				void submit(attempt + 1);
			}, retryAfterMs!);
		}
	};

	void submit(1);
};
