/**
Jobs that the callers of a soak run submit: short ones in two steps, and long-running ones.
*/
import {type WorkerStart} from '../../src/types/fleet.ts';
import {type RunPlan} from '../../src/standin/run-plan.ts';
import {type Random} from '../../src/types/random.ts';

/** A job in the form in which callers send it. */
export type OfferedJob = {
	id: string;
	isLongRunning: boolean;
	body: {
		spec: string;
		steps: Array<{count: number; cpu: number; memMb: number; estimateMs: number; after?: number[]; longRunning?: boolean; antiAffinity?: number; mayMiss?: number}>;
	};
};

const maxWorkMs = 5000;

/** Draws a job of two steps. */
export const drawJob = (random: Random): OfferedJob => {
	const id = random.id();
	// Many tasks are short, some live through several faults.
	const workMs = Math.round(200 + ((random.next() ** 2) * maxWorkMs));
	return {
		id,
		isLongRunning: false,
		body: {
			spec: `${id} work ${workMs} ${random.next() < 0.2 ? 'fails once' : ''}`,
			steps: [
				{
					count: 1 + random.below(6), cpu: 500 + (100 * random.below(10)), memMb: 100, estimateMs: workMs,
				},
				{
					count: 1 + random.below(3), cpu: 1000, memMb: 100, estimateMs: workMs, after: [0],
				},
			],
		},
	};
};

/** Draws a job whose tasks run until it is cancelled, at most `maxPerWorker` on one worker; 0: no bound. Half of them bound how many may be away by orders. */
export const drawLongRunningJob = (random: Random, count: number, maxPerWorker: number): OfferedJob => {
	const id = random.id();
	return {
		id,
		isLongRunning: true,
		body: {
			spec: `${id} long`,
			steps: [{
				count, cpu: 500, memMb: 100, estimateMs: 0, longRunning: true, antiAffinity: maxPerWorker, ...(Number.parseInt(id.slice(0, 1), 16) % 2 === 0 && {mayMiss: 1}),
			}],
		},
	};
};

/** Draws a job whose tasks run until it is cancelled, and that its caller cancels before it knows whether it was accepted: no run of it is owed. */
export const drawAbandonedJob = (random: Random): OfferedJob => ({...drawLongRunningJob(random, 1 + random.below(2), 0), isLongRunning: false});

/** What a worker does with a run. */
export const planRun = ({input, run}: WorkerStart): RunPlan => {
	const work = /work (\d+)/.exec(input);
	return {workMs: work ? Number(work[1]) : undefined, isFailing: run === 1 && input.endsWith('fails once')};
};
