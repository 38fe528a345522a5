/**
Inputs of jobs that owners have sent to this agent: the starts of further tasks of a job leave the input out, because on a slow
link the same input for each task takes most of the time.
*/
import {parseTaskId} from '../types/workflows.ts';
import {type OrderedStart, type WorkerStart} from '../types/fleet.ts';

/** Bound on the characters of all inputs; the least recently used are dropped. */
const maxChars = 2_000_000;

/** Inputs by job. */
export class JobInputs {
	readonly #inputs = new Map<string, string>();
	#chars = 0;

	/** Keeps the input that a start carries. */
	keep({taskId, input}: OrderedStart): void {
		const jobId = parseTaskId(taskId)?.workflowId;
		if (jobId === undefined || input === undefined) {
			return;
		}

		this.#drop(jobId);
		this.#inputs.set(jobId, input);
		this.#chars += input.length;
		for (const oldest of this.#inputs.keys()) {
			if (this.#chars <= maxChars) {
				break;
			}

			this.#drop(oldest);
		}
	}

	/** Completes a start; undefined if it carries no input and the job's is not known. */
	complete(start: OrderedStart): WorkerStart | undefined {
		const jobId = parseTaskId(start.taskId)?.workflowId ?? '';
		const kept = this.#inputs.get(jobId);
		if (kept !== undefined) {
			this.#inputs.delete(jobId);
			this.#inputs.set(jobId, kept);
		}

		const input = start.input ?? kept;
		return input === undefined ? undefined : {...start, input};
	}

	#drop(jobId: string): void {
		this.#chars -= this.#inputs.get(jobId)?.length ?? 0;
		this.#inputs.delete(jobId);
	}
}
