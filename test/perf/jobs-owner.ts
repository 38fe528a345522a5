/**
Measures what owning jobs costs and how long a takeover lasts: `npx tsx --expose-gc test/perf/jobs-owner.ts`.
*/
import process from 'node:process';
import {JobState} from '../../src/types/jobs.ts';
import {createSpec, World} from '../jobs-harness.ts';

const smallResources = {processors: 1, memoryMb: 1, accelerators: 0};
const largeCapacity = {processors: 400, memoryMb: 10_000_000, accelerators: 0};

const getHeapBytes = (): number => {
	globalThis.gc?.();
	return process.memoryUsage().heapUsed;
};

const getMedian = (values: number[]): number => values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)]!;

/** Time from the death of an owner until its shards are owned, a new job of one runs, and a held one runs. */
const measureTakeover = async (seed: number, isWorkerLost: boolean) => {
	const world = new World({
		seed, entries: 3, shards: 12, workers: 12, capacity: {processors: 16, memoryMb: 61_440, accelerators: 0}, getBehaviour: () => ({runTimeMs: 600_000}),
	});
	await world.until(() => [...world.entries.values()].reduce((sum, {scheduler}) => sum + scheduler.ownership.owned.size, 0) === 12);
	await world.clock.advance(60_000);
	for (let index = 0; index < 36; index++) {
		await world.submit(createSpec(`running-${index}`, {resources: smallResources}));
	}

	await world.until(() => world.getRunning().length === 36);
	const victim = world.getEntry(0);
	const lost = [...victim.scheduler.ownership.owned.keys()];
	victim.crash();
	if (isWorkerLost) {
		world.workers.get('worker-0')!.faults.isCut = true;
		world.announced.delete('worker-0');
	}

	const beginMs = world.clock.monotonicMs();
	const getSeconds = () => (world.clock.monotonicMs() - beginMs) / 1000;
	await world.until(() => lost.every(shard => [...world.entries.values()].some(({scheduler}) => scheduler.ownership.owned.has(shard))));
	const ownedSeconds = getSeconds();
	const ids = Array.from({length: 48}, (_, index) => `new-${index}`);
	for (const id of ids) {
		await world.submit(createSpec(id, {resources: smallResources}));
	}

	await world.until(() => ids.every(id => world.getPlaces(`${id}/0`).length === 1), 120_000);
	const startedSeconds = getSeconds();
	await world.until(() => world.getRunning().length === 36 + 48, 120_000);
	const figures = {
		ownedSeconds, startedSeconds, allRunningSeconds: getSeconds(), isSafe: world.violations.length === 0,
	};
	await world.stop();
	return figures;
};

const measureCosts = async (taskCount: number) => {
	const world = new World({
		workers: 100, shards: 1, capacity: largeCapacity, settings: {jobs: {maxDecisions: 100_000}}, getBehaviour: () => ({runTimeMs: 20_000}),
	});
	await world.until(() => world.getEntry().scheduler.ownership.owned.size === 1);
	const calls = {
		start: 0, renew: 0, list: 0, forget: 0,
	};
	for (const worker of world.workers.values()) {
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

	const heapBefore = getHeapBytes();
	const cpuBefore = process.cpuUsage();
	const beginMs = world.clock.monotonicMs();
	await world.submit(createSpec('wave', {taskCount, resources: smallResources}));
	await world.until(() => world.getRunning().length === taskCount);
	const heapRunning = getHeapBytes();
	await world.until(() => world.getState('wave') === JobState.Succeeded, 120_000, 1000);
	const cpu = process.cpuUsage(cpuBefore);
	const heapEnded = getHeapBytes();
	const seconds = (world.clock.monotonicMs() - beginMs) / 1000;
	await world.stop();
	return {
		taskCount,
		microsecondsPerTask: Math.round((cpu.user + cpu.system) / taskCount),
		// With the stand-in workers, whose state is in the same heap.
		bytesPerRunningTask: Math.round((heapRunning - heapBefore) / taskCount),
		bytesPerEndedTask: Math.round((heapEnded - heapBefore) / taskCount),
		calls,
		simulatedSeconds: seconds,
	};
};

for (const isWorkerLost of [false, true]) {
	const runs = [];
	for (let seed = 1; seed <= 10; seed++) {
		runs.push(await measureTakeover(seed, isWorkerLost));
	}

	console.log(`takeover, ${isWorkerLost ? 'a worker lost as well' : 'all workers reached'}, 10 seeds:`, JSON.stringify({
		owned: getMedian(runs.map(({ownedSeconds}) => ownedSeconds)),
		ownedMax: Math.max(...runs.map(({ownedSeconds}) => ownedSeconds)),
		newJobsStarted: getMedian(runs.map(({startedSeconds}) => startedSeconds)),
		allRunning: getMedian(runs.map(({allRunningSeconds}) => allRunningSeconds)),
		allRunningMax: Math.max(...runs.map(({allRunningSeconds}) => allRunningSeconds)),
		isSafe: runs.every(({isSafe}) => isSafe),
	}));
}

for (const taskCount of [1000, 10_000, 40_000]) {
	console.log('costs:', JSON.stringify(await measureCosts(taskCount)));
}
