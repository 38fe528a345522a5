/**
Applies changes of the fold to an owner: new jobs, finished jobs, newer claims and gaps in the stream.
*/
import {type Clock} from '../types/clock.ts';
import {type DueOccurrences} from './due-occurrences.ts';
import {type FoldListener} from './fold.ts';
import {type FoldedWorkflow} from './folded-workflow.ts';
import {type WorkflowFollower} from './follower.ts';
import {type LiveModel} from './live-model.ts';

/** Options of the listener. */
export type FoldListenerOptions = {
	clock: Clock;
	epoch: number;
	follower: WorkflowFollower;
	model: LiveModel;
	dueOccurrences: DueOccurrences;
	/** Takes a job that another partition runs; returns whether one does. */
	transfer: (folded: FoldedWorkflow) => boolean;
	/** A job was added to the model. */
	onAdded: () => void;
	onFinished: (folded: FoldedWorkflow) => void;
	/** The store has dropped records that this owner has not read. */
	onGap: () => void;
	stepDown: (reason: string) => void;
	note: (event: string, fields: Record<string, unknown>) => void;
};

/** Creates the listener of one owner. */
export const createFoldListener = ({clock, epoch, follower, model, dueOccurrences, transfer, onAdded, onFinished, onGap, stepDown, note}: FoldListenerOptions): FoldListener => ({
	onSubmit(folded) {
		if (transfer(folded)) {
			return;
		}

		const {workflow, offset} = folded;
		note('job taken', {
			id: workflow.id, offset, queue: workflow.queue, steps: workflow.steps.map(step => step.count), ageMs: clock.now().getTime() - workflow.receivedAtMs,
		});
		const nowMs = clock.monotonicMs();
		// The record was written after the last read that reached the end of the stream, which bounds the job's age.
		dueOccurrences.schedule(model.add(folded, clock.now().getTime(), nowMs, nowMs - follower.caughtUpAtMs));
		onAdded();
	},
	onFinished,
	onGap() {
		stepDown('the store has dropped records that were not read');
		onGap();
	},
	onClaim(claimed) {
		if (claimed > epoch) {
			stepDown(`the stream shows epoch ${claimed}`);
		}
	},
});
