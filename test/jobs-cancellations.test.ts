/**
Cancellations of jobs that the log does not have yet, in the program's own installation.
*/
import {afterEach, expect, test} from 'vitest';
import {ErrorCode, isError} from '../src/core/errors.ts';
import {JobFold} from '../src/jobs/job-fold.ts';
import {JobEntryType, type JobEntry} from '../src/jobs/job-records.ts';
import {JobState} from '../src/types/jobs.ts';
import {createSpec, SimulatedCluster} from './jobs-harness.ts';

const hourMs = 3_600_000;
let cluster: SimulatedCluster | undefined;

const create = (): SimulatedCluster => {
	cluster = new SimulatedCluster({entries: 2});
	return cluster;
};

afterEach(async () => {
	await cluster?.stop();
	cluster = undefined;
});

/** Cancels a job; resolves to the error, or to undefined. */
const cancel = async (jobId: string, index = 0): Promise<unknown> => {
	let error: unknown;
	let isDone = false;
	const cancelling = (async () => {
		try {
			await cluster!.getEntry(index).scheduler.cancel(jobId);
		} catch (error_) {
			error = error_;
		}

		isDone = true;
	})();
	await cluster!.runUntil(() => isDone);
	await cancelling;
	return error;
};

/** Guards against a job that runs after its cancellation was answered "not found": its submission was on its way at another entry. */
test('a job that is cancelled before its submission is in the log never runs', async () => {
	const {clock, starts} = create();
	await clock.advance(10_000);
	expect(isError(await cancel('a'), ErrorCode.NotFound)).toBe(true);
	await cluster!.submit(createSpec('a', {taskCount: 3}), cluster!.getEntry(1));
	await clock.advance(30_000);
	expect(starts.size).toBe(0);
	expect(cluster!.getState('a')).toBe(JobState.Cancelled);
});

test('a cancellation that is not in the log is not answered as "not found"', async () => {
	const {log} = create();
	log.faults.isDown = true;
	expect(isError(await cancel('a'), ErrorCode.LogUnavailable)).toBe(true);
});

test('a job whose id is submitted again an hour after its cancellation is another job', () => {
	const fold = new JobFold();
	const apply = (offset: number, writtenAtMs: number, entry: JobEntry) => fold.apply({id: `${offset}`, writtenAtMs, entries: [entry]}, offset);
	apply(0, 0, {type: JobEntryType.Cancel, jobId: 'a'});
	apply(1, 0, {type: JobEntryType.Cancel, jobId: 'b'});
	apply(2, hourMs / 2, {type: JobEntryType.Accept, shard: 0, spec: createSpec('a')});
	apply(3, hourMs + 1, {type: JobEntryType.Accept, shard: 0, spec: createSpec('b')});
	expect([fold.jobs.get('a')!.isCancelled, fold.jobs.get('b')!.isCancelled]).toEqual([true, false]);
});
