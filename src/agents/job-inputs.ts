/**
Inputs of jobs that owners have sent to this agent, each with the service that the job runs in: the starts of further tasks of a job leave
them out, because on a slow link the same input for each task takes most of the time.
*/
import {parseTaskId} from '../types/workflows.ts';
import {type OrderedStart, type WorkerStart} from '../types/fleet.ts';

/** What starts of a job have in common. */
type JobInput = {input: string; service: string | undefined};

/** A start with all that its job has in common; `service` is undefined if it was ordered by an owner of the previous version. */
type JobStart = WorkerStart & JobInput;

/** Bound on the characters of all inputs; the least recently used are dropped. */
const maxChars = 2_000_000;

/** Inputs by job. */
export class JobInputs {
	readonly #inputs = new Map<string, JobInput>();
	#chars = 0;

	/** Keeps the input that a start carries. */
	keep({taskId, input, service}: OrderedStart): void {
		const jobId = parseTaskId(taskId)?.workflowId;
		if (jobId === undefined || input === undefined) {
			return;
		}

		this.#drop(jobId);
		this.#inputs.set(jobId, {input, service});
		this.#chars += input.length;
		for (const oldest of this.#inputs.keys()) {
			if (this.#chars <= maxChars) {
				break;
			}

			this.#drop(oldest);
		}
	}

	/** Completes a start; undefined if it carries no input and the job's is not known. */
	complete(start: OrderedStart): JobStart | undefined {
		const jobId = parseTaskId(start.taskId)?.workflowId ?? '';
		const kept = this.#inputs.get(jobId);
		if (kept !== undefined) {
			this.#inputs.delete(jobId);
			this.#inputs.set(jobId, kept);
		}

		const known = start.input === undefined ? kept : {input: start.input, service: start.service};
		return known && {...start, ...known};
	}

	#drop(jobId: string): void {
		this.#chars -= this.#inputs.get(jobId)?.input.length ?? 0;
		this.#inputs.delete(jobId);
	}
}
