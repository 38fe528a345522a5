/**
Measures the memory and processor time that an owner of jobs needs, and how long a takeover takes: `npx tsx --expose-gc test/perf/measure-job-owner.ts`.
*/
import process from 'node:process';
import {JobFold} from '../../src/jobs/job-fold.ts';
import {JobEntryType} from '../../src/jobs/job-records.ts';
import {createLiveTask} from '../../src/jobs/shard-task.ts';
import {JobState} from '../../src/types/jobs.ts';
import {TaskState} from '../../src/types/platform.ts';
import {createSpec, SimulatedCluster} from '../jobs-harness.ts';

const smallResources = {processors: 1, memoryMb: 1, accelerators: 0};
const largeCapacity = {processors: 400, memoryMb: 10_000_000, accelerators: 0};

const getHeapBytes = (): number => {
	globalThis.gc?.();
	return process.memoryUsage().heapUsed;
};

const getMedian = (values: number[]): number => values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)]!;

/**
Measures, from the crash of an owner, the time until its shards have a new owner and until jobs submitted at the crash run; and the
time until jobs run that are submitted one second after the takeover.
*/
const measureTakeover = async (seed: number, isWorkerLost: boolean) => {
	const cluster = new SimulatedCluster({
		seed, entries: 3, shards: 12, workers: 12, capacity: {processors: 16, memoryMb: 61_440, accelerators: 0}, getBehaviour: () => ({runTimeMs: 600_000}),
	});
	await cluster.runUntil(() => [...cluster.entries.values()].reduce((sum, {scheduler}) => sum + scheduler.ownership.owned.size, 0) === 12);
	await cluster.clock.advance(60_000);
	for (let index = 0; index < 36; index++) {
		await cluster.submit(createSpec(`running-${index}`, {resources: smallResources}));
	}

	await cluster.runUntil(() => cluster.getRunning().length === 36);
	const crashedEntry = cluster.getEntry(0);
	const lostShards = [...crashedEntry.scheduler.ownership.owned.keys()];
	crashedEntry.crash();
	if (isWorkerLost) {
		cluster.workers.get('worker-0')!.faults.isUnreachable = true;
		cluster.announced.delete('worker-0');
	}

	const startMs = cluster.clock.monotonicMs();
	const getSeconds = () => (cluster.clock.monotonicMs() - startMs) / 1000;
	const submitAll = (prefix: string): string[] => Array.from({length: 24}, (_, index) => {
		void cluster.getEntry().scheduler.submit(createSpec(`${prefix}-${index}`, {resources: smallResources}));
		return `${prefix}-${index}`;
	});
	const areStarted = (ids: string[]) => ids.every(id => cluster.getRunningWorkers(`${id}/0`).length === 1);
	const submittedAtCrash = submitAll('at-death');
	await cluster.runUntil(() => lostShards.every(shard => [...cluster.entries.values()].some(({scheduler}) => scheduler.ownership.owned.has(shard))));
	const ownedSeconds = getSeconds();
	await cluster.clock.advance(1000);
	const submittedLater = submitAll('after');
	await cluster.runUntil(() => areStarted(submittedLater), 120_000);
	const submittedLaterSeconds = getSeconds() - ownedSeconds - 1;
	await cluster.runUntil(() => areStarted(submittedAtCrash), 120_000);
	const result = {
		ownedSeconds, submittedAtCrashSeconds: getSeconds(), submittedLaterSeconds, isSafe: cluster.violations.length === 0,
	};
	await cluster.stop();
	return result;
};

const measureCosts = async (taskCount: number) => {
	const cluster = new SimulatedCluster({
		workers: 100, shards: 1, capacity: largeCapacity, settings: {jobs: {maxDecisions: 100_000}}, getBehaviour: () => ({runTimeMs: 20_000}),
	});
	await cluster.runUntil(() => cluster.getEntry().scheduler.ownership.owned.size === 1);
	const calls = {
		start: 0, renew: 0, list: 0, forget: 0,
	};
	for (const worker of cluster.workers.values()) {
		for (const name of Object.keys(calls) as Array<keyof typeof calls>) {
			const call = worker[name].bind(worker) as (...values: unknown[]) => Promise<unknown>;
			Object.assign(worker, {
				async [name](...values: unknown[]) {
					calls[name]++;
					return call(...values);
				},
			});
		}
	}

	const cpuBefore = process.cpuUsage();
	const startMs = cluster.clock.monotonicMs();
	await cluster.submit(createSpec('wave', {taskCount, resources: smallResources}));
	await cluster.runUntil(() => cluster.getRunning().length === taskCount);
	await cluster.runUntil(() => cluster.getState('wave') === JobState.Succeeded, 120_000, 1000);
	const cpu = process.cpuUsage(cpuBefore);
	const seconds = (cluster.clock.monotonicMs() - startMs) / 1000;
	await cluster.stop();
	return {
		taskCount,
		// Includes the stand-in log and workers and the test harness, which run in the same process.
		microsecondsPerTask: Math.round((cpu.user + cpu.system) / taskCount),
		calls,
		simulatedSeconds: seconds,
	};
};

/** Measures the memory of an entry's state: jobs and ends, which every entry folds from the log, and live tasks at the owner. */
const measureState = (count: number) => {
	const fold = new JobFold();
	const before = getHeapBytes();
	for (let index = 0; index < count; index++) {
		fold.apply({id: '', writtenAtMs: 0, entries: [{type: JobEntryType.Accept, shard: 0, spec: createSpec(`job-${index}`)}]}, index);
	}

	const afterJobs = getHeapBytes();
	const jobs = [...fold.jobs.values()];
	const tasks = jobs.map(job => createLiveTask(job, 0, 1, 0));
	const afterTasks = getHeapBytes();
	for (const {spec: {jobId}} of jobs) {
		fold.apply({
			id: '', writtenAtMs: 0, entries: [{
				type: JobEntryType.End, jobId, fencingToken: 1, end: {
					index: 0, attempt: 1, state: TaskState.Succeeded, evictions: 0,
				},
			}],
		}, count);
	}

	const afterEnds = getHeapBytes();
	return {
		// Refer to the measured objects, so that they are not garbage-collected before the last measurement.
		ended: fold.jobs.size,
		live: tasks.filter(({job}) => job.ends.size > 0).length,
		bytesPerJob: Math.round((afterJobs - before) / count),
		bytesPerLiveTask: Math.round((afterTasks - afterJobs) / tasks.length),
		bytesPerEnd: Math.round((afterEnds - afterTasks) / count),
	};
};

console.log('state of 100,000 jobs of one task:', JSON.stringify(measureState(100_000)));

for (const isWorkerLost of [false, true]) {
	const runs = [];
	for (let seed = 1; seed <= 10; seed++) {
		runs.push(await measureTakeover(seed, isWorkerLost));
	}

	console.log(`takeover, ${isWorkerLost ? 'one worker unreachable' : 'all workers reachable'}, 10 seeds:`, JSON.stringify({
		owned: getMedian(runs.map(({ownedSeconds}) => ownedSeconds)),
		ownedMax: Math.max(...runs.map(({ownedSeconds}) => ownedSeconds)),
		submittedAtDeathStarted: getMedian(runs.map(({submittedAtCrashSeconds}) => submittedAtCrashSeconds)),
		submittedAtDeathStartedMax: Math.max(...runs.map(({submittedAtCrashSeconds}) => submittedAtCrashSeconds)),
		submittedLaterStartedWithin: Math.max(...runs.map(({submittedLaterSeconds}) => submittedLaterSeconds)),
		isSafe: runs.every(({isSafe}) => isSafe),
	}));
}

for (const taskCount of [1000, 10_000, 40_000]) {
	console.log('costs:', JSON.stringify(await measureCosts(taskCount)));
}
