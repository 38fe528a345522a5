/**
Forecast of how long new jobs take, and the inventory of workers.
*/
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {BacklogForecaster, type JobBacklog} from '../src/workflows/backlog-forecast.ts';
import {FleetInventory, type WorkerSize} from '../src/workflows/fleet-inventory.ts';
import {decodeRecord, encodeRecord, RecordType} from '../src/workflows/records.ts';

const createBacklog = (backlog: Partial<JobBacklog> = {}): JobBacklog => ({
	key: {}, queue: 'build', isBestEffort: true, priority: 1, totalCoreMs: 10_000, remainingCoreMs: 10_000, isOverdue: false, isWaiting: true, ...backlog,
});

describe('forecast waits', () => {
	/** Ten jobs of 10 000 core-ms, of which 200 are done each second: 90 000 are left after 5 s. */
	const measure = (change: (job: JobBacklog) => JobBacklog = job => job) => {
		const forecaster = new BacklogForecaster();
		const jobs = Array.from({length: 10}, () => createBacklog());
		for (let second = 0; second <= 5; second++) {
			forecaster.update(jobs.map(job => change({...job, remainingCoreMs: 10_000 - (second * 200)})), second * 1000);
		}

		return forecaster;
	};

	it('are the work ahead at the measured rate of ends', () => {
		const waits = measure().getForecast('build')!.waits.map(({fromCoreMs, waitMs}) => [fromCoreMs, waitMs]);
		expect(waits).toEqual([[2500, 0], [5000, 0], [10_000, 45_000], [20_000, 45_000]]);
	});

	it('are zero while no ready task waits, and leave out what is too late to count', () => {
		expect(measure(job => ({...job, isWaiting: false})).getForecast('build')!.waits).toEqual([]);
		expect(measure(job => ({...job, isOverdue: true})).getForecast('build')!.waits).toEqual([]);
	});

	it('do not depend on work that takes other processors', () => {
		const forecaster = measure();
		forecaster.update([createBacklog({isBestEffort: false, queue: 'check', isWaiting: false})], 6000);
		expect(forecaster.getForecast('check')!.waits).toEqual([]);
	});

	it('count the work of queues with a higher priority whatever its size', () => {
		const forecaster = measure();
		forecaster.update([createBacklog({
			queue: 'first', priority: 0, totalCoreMs: 80_000, remainingCoreMs: 80_000,
		}), createBacklog()], 6000);
		const [smallest] = forecaster.getForecast('build')!.waits;
		expect(smallest!.waitMs).toBeGreaterThan(0);
		expect(forecaster.getForecast('first')!.waits.at(0)!.waitMs).toBe(0);
	});

	it('rise with the size, and are finite', () => {
		fc.assert(fc.property(fc.array(fc.record({
			remainingCoreMs: fc.nat(50_000), priority: fc.nat(2), isBestEffort: fc.boolean(), isOverdue: fc.boolean(), isWaiting: fc.boolean(),
		}), {maxLength: 30}), fc.array(fc.double({min: 0, max: 1, noNaN: true}), {minLength: 1, maxLength: 5}), (list, shares) => {
			const forecaster = new BacklogForecaster();
			const jobs = list.map(job => createBacklog({...job, totalCoreMs: job.remainingCoreMs, queue: `queue-${job.priority}`}));
			for (const [index, share] of shares.entries()) {
				forecaster.update(jobs.map(job => ({...job, remainingCoreMs: job.remainingCoreMs * share})), index * 1000);
				for (const {waits} of forecaster.forecasts) {
					expect(waits.every(({waitMs}) => Number.isFinite(waitMs) && waitMs >= 0)).toBe(true);
					expect(waits).toEqual(waits.toSorted((a, b) => a.waitMs - b.waitMs));
				}
			}
		}));
	});
});

describe('the measured error', () => {
	it('is the lowest and the median of the last hundred jobs', () => {
		const forecaster = new BacklogForecaster();
		forecaster.update([createBacklog()], 0);
		forecaster.recordEnd('build', {forecastMs: 1000, tookMs: 100});
		for (let index = 0; index < 99; index++) {
			forecaster.recordEnd('build', {forecastMs: 1000, tookMs: 1500});
		}

		forecaster.update([], 1000);
		expect(forecaster.getForecast('build')).toMatchObject({measuredJobs: 100, lowestRatio: 0.1, medianRatio: 1.5});
		forecaster.recordEnd('build', {forecastMs: 1000, tookMs: 1500});
		forecaster.update([], 2000);
		expect(forecaster.getForecast('build')).toMatchObject({measuredJobs: 100, lowestRatio: 1.5});
	});
});

const small: WorkerSize = {
	milliCpu: 4000, memoryMb: 8000, accelerators: 0, labels: ['a', 'r1-1'],
};
const large: WorkerSize = {...small, milliCpu: 8000, labels: ['a', 'r1-2']};

describe('the inventory of workers', () => {
	const run = (inventory: FleetInventory, workers: Array<readonly [string, WorkerSize | undefined]>, fromS: number, untilS: number) => {
		for (let second = fromS; second <= untilS; second++) {
			inventory.update(workers, second * 1000);
		}

		return inventory.getShapes(untilS * 1000);
	};

	it('is not known for ten seconds after a claim, nor for five after a change', () => {
		const inventory = new FleetInventory(0);
		expect(run(inventory, [['host-0', small]], 0, 9)).toBeUndefined();
		expect(run(inventory, [['host-0', small]], 10, 10)).toHaveLength(1);
		expect(run(inventory, [['host-0', small], ['host-1', large]], 11, 15)).toBeUndefined();
		expect(run(inventory, [['host-0', small], ['host-1', large]], 16, 16)).toHaveLength(2);
	});

	/** A host restarts, and its worker, the only large one, has not reported its size to this owner. */
	it('is not known while a worker has not told its size', () => {
		const inventory = new FleetInventory(0);
		expect(run(inventory, [['host-0', small], ['host-1', undefined]], 0, 30)).toBeUndefined();
		expect(run(inventory, [['host-0', small]], 31, 36)).toHaveLength(1);
	});

	it('keeps a worker that is away, and a size from which a worker has shrunk, for a minute', () => {
		const inventory = new FleetInventory(0);
		run(inventory, [['host-0', small], ['host-1', large]], 0, 12);
		expect(run(inventory, [['host-0', small]], 13, 70)).toHaveLength(2);
		expect(run(inventory, [['host-0', small]], 71, 80)).toHaveLength(1);
		run(inventory, [['host-0', large]], 81, 90);
		run(inventory, [['host-0', small]], 91, 100);
		expect(inventory.getShapes(100_000)!.map(({milliCpu}) => milliCpu)).toEqual([4000, 8000]);
	});

	it('joins the labels of workers of one size', () => {
		const shapes = run(new FleetInventory(0), [['host-0', small], ['host-1', {...small, labels: ['b']}]], 0, 12);
		expect(shapes).toEqual([{
			milliCpu: 4000, memoryMb: 8000, accelerators: 0, workers: 2, labels: ['a', 'b', 'r1-1'],
		}]);
	});
});

describe('the record of a forecast', () => {
	it('is decoded as it was encoded', () => {
		const forecast = {
			epoch: 7,
			service: 'desk',
			queues: [{
				queue: 'build', measuredJobs: 12, lowestRatio: 0.4, medianRatio: 1.2, waits: [{fromCoreMs: 10, waitMs: 20}, {fromCoreMs: 30, waitMs: 40}],
			}],
			fleet: [{
				milliCpu: 4000, memoryMb: 8000, accelerators: 0, workers: 2, labels: ['a', 'r1-1'],
			}],
		};
		expect(decodeRecord(encodeRecord({type: RecordType.Forecast, forecast}))).toEqual({type: RecordType.Forecast, forecast});
		const unknown = {...forecast, queues: [], fleet: undefined};
		expect(decodeRecord(encodeRecord({type: RecordType.Forecast, forecast: unknown}))).toEqual({type: RecordType.Forecast, forecast: unknown});
	});
});
