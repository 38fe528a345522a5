/**
Decision of an entry whether a job is accepted or refused.
*/
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {type BacklogForecast, type QueueForecast, type WorkerShape} from '../src/types/admission.ts';
import {type WorkflowSpec} from '../src/types/workflows.ts';
import {createRandom} from '../src/utils/seeded-random.ts';
import {
	decideAdmission, getEstimatedWork, getForecastEndMs, JobRefusalReason, type AdmissionInput,
} from '../src/workflows/job-admission.ts';
import {createSpec, createStep} from './simulated-site.ts';

const fleet: WorkerShape[] = [
	{
		milliCpu: 4000, memoryMb: 8000, accelerators: 0, workers: 3, labels: ['a', 'r1-1'],
	},
	{
		milliCpu: 8000, memoryMb: 16_000, accelerators: 1, workers: 1, labels: ['b', 'r1-2'],
	},
];
const busyQueue: QueueForecast = {
	queue: 'issue', measuredJobs: 100, lowestRatio: 0.5, medianRatio: 1, waits: [{fromCoreMs: 1000, waitMs: 4000}, {fromCoreMs: 8000, waitMs: 40_000}],
};
/** Objective of 2500 ms, of use for 7500 ms; earliest end after (40 000 + 1000) * 0.5 ms. */
const lateSpec = createSpec([createStep({count: 10})]);

const decide = (spec: WorkflowSpec, {forecast, ...input}: Partial<Omit<AdmissionInput, 'forecast'>> & {forecast?: Partial<BacklogForecast>} = {}) => decideAdmission({
	spec,
	queue: {name: 'issue', stretch: 2, targetLatencyMs: 500},
	forecast: {
		epoch: 1, service: 'desk', queues: [busyQueue], fleet, ...forecast,
	},
	forecastAgeMs: 1000,
	waitedMs: 0,
	mayFleetGrow: false,
	refusesLate: true,
	random: {next: () => 0.5},
	...input,
});

describe('a job that no worker can hold', () => {
	const wide = createSpec([createStep(), createStep({milliCpu: 8001, after: [0]})]);

	it.each([
		['processors', createStep({milliCpu: 8001})],
		['memory', createStep({memoryMb: 16_001})],
		['accelerators', createStep({accelerators: 2})],
		['a label', createStep({requiredLabel: 'c'})],
		['a label and processors together', createStep({requiredLabel: 'a', milliCpu: 4001})],
		['a gang wider than all workers', createStep({count: 21, isGang: true})],
		['a gang with fewer workers than it needs', createStep({count: 5, isGang: true, maxPerWorker: 1})],
	])('is refused for %s', (_, step) => {
		expect(decide(createSpec([step]), {refusesLate: false})).toMatchObject({reason: JobRefusalReason.NoWorker});
	});

	it.each([
		['a step as large as the largest worker', createStep({
			milliCpu: 8000, memoryMb: 16_000, accelerators: 1, requiredLabel: 'b',
		})],
		['a gang that takes all workers', createStep({count: 20, isGang: true})],
		['more tasks than workers hold at a time', createStep({count: 500, maxPerWorker: 1})],
		['a best-effort task with more processors than a worker has', createStep({milliCpu: 20_000, isFilling: true})],
		['no tasks', createStep({count: 0, milliCpu: 9000})],
	])('is not seen in %s', (_, step) => {
		expect(decide(createSpec([step]), {refusesLate: false})).toBeUndefined();
	});

	it('is refused if only a later step cannot be held, and accepted if it serves its users in part', () => {
		expect(decide(wide)).toMatchObject({reason: JobRefusalReason.NoWorker});
		expect(decide(createSpec([createStep({isLasting: true}), createStep({milliCpu: 8001, isLasting: true})]))).toBeUndefined();
	});

	it('is accepted while the workers are not known, the forecast is old, or the fleet may grow', () => {
		expect(decide(wide, {refusesLate: false, forecast: {fleet: undefined}})).toBeUndefined();
		expect(decide(wide, {refusesLate: false, forecastAgeMs: 13_000})).toBeUndefined();
		expect(decide(wide, {refusesLate: false, mayFleetGrow: true})).toBeUndefined();
	});
});

describe('a job that would end too late', () => {
	it('is refused, and told to return when the backlog allows, later than half of its callers', () => {
		expect(decide(lateSpec)).toEqual({
			reason: JobRefusalReason.TooLate, retryAfterMs: 15_000, earliestEndMs: 20_500, usefulUntilMs: 7500,
		});
	});

	it('returns at about the rate at which the backlog shrinks, not all at once', () => {
		const random = createRandom(1);
		const returnsPerS = new Map<number, number>();
		for (let index = 0; index < 300; index++) {
			const second = Math.floor(decide(lateSpec, {random})!.retryAfterMs / 1000);
			returnsPerS.set(second, (returnsPerS.get(second) ?? 0) + 1);
		}

		expect(Math.min(...returnsPerS.keys())).toBe(10);
		expect(Math.max(...returnsPerS.keys())).toBeLessThanOrEqual(20);
		expect(Math.max(...returnsPerS.values())).toBeLessThan(300 / 10 * 1.5);
	});

	it('is accepted unless the operator turned these refusals on', () => {
		expect(decide(lateSpec, {refusesLate: false})).toBeUndefined();
	});

	it('is accepted if it would end within three times its objective', () => {
		expect(decide(createSpec([createStep({count: 5})]))).toBeUndefined();
		expect(decide(lateSpec, {forecast: {queues: [{...busyQueue, lowestRatio: 0.18}]}})).toBeUndefined();
	});

	it('is judged by the time since it was first refused', () => {
		const spec = createSpec([createStep({count: 5})]);
		expect(decide(spec, {waitedMs: 4900})).toBeUndefined();
		expect(decide(spec, {waitedMs: 5100})).toMatchObject({reason: JobRefusalReason.TooLate, usefulUntilMs: 2400});
	});

	it.each<[string, Parameters<typeof decide>]>([
		['without a forecast of its queue', [lateSpec, {forecast: {queues: []}}]],
		['with an old forecast', [lateSpec, {forecastAgeMs: 13_000}]],
		['with few measured jobs', [lateSpec, {forecast: {queues: [{...busyQueue, measuredJobs: 49}]}}]],
		['in a queue without an objective', [lateSpec, {queue: {name: 'issue', stretch: 0, targetLatencyMs: 0}}]],
		['that repeats', [{...lateSpec, repeatCount: 3}]],
		['that is long-running', [createSpec([createStep({count: 10, isLasting: true})])]],
		['without estimates', [createSpec([createStep({count: 10, estimateMs: 0})])]],
	])('is accepted %s', (_, args) => {
		expect(decide(...args)).toBeUndefined();
	});
});

describe('admission of any job', () => {
	const steps = fc.array(fc.record({
		count: fc.nat(40), milliCpu: fc.nat(9000), memoryMb: fc.nat(9000), estimateMs: fc.nat(8000), isLasting: fc.boolean(), isGang: fc.boolean(), isFilling: fc.boolean(), maxPerWorker: fc.nat(3),
	}), {minLength: 1, maxLength: 5}).map(list => createSpec(list.map((step, index) => createStep({...step, after: index > 0 ? [index - 1] : []}))));
	const queues = fc.record({
		queue: fc.constant('issue'), measuredJobs: fc.nat(100), lowestRatio: fc.double({min: 0, max: 2, noNaN: true}), medianRatio: fc.double({min: 0, max: 4, noNaN: true}), waits: fc.array(fc.record({fromCoreMs: fc.nat(100_000), waitMs: fc.nat(60_000)}), {maxLength: 4}).map(waits => waits.toSorted((a, b) => a.fromCoreMs - b.fromCoreMs)),
	});

	it('refuses as too late only what by the forecast less its error ends after three times the objective', () => {
		fc.assert(fc.property(steps, queues, fc.nat(20_000), (spec, queue, waitedMs) => {
			const refusal = decide(spec, {forecast: {queues: [queue], fleet: undefined}, waitedMs});
			const work = getEstimatedWork(spec);
			if (refusal) {
				expect(queue.lowestRatio * getForecastEndMs(queue, work)).toBeGreaterThan((3 * ((2 * work.chainMs) + 500)) - waitedMs);
			}
		}));
	});

	it('accepts whatever a worker holds where jobs that end too late are accepted', () => {
		fc.assert(fc.property(steps, queues, (spec, queue) => {
			const isHeld = spec.steps.every(({milliCpu, memoryMb, isGang, isFilling}) => !isGang && (isFilling || milliCpu <= 4000) && memoryMb <= 8000);
			fc.pre(isHeld);
			expect(decide(spec, {forecast: {queues: [queue]}, refusesLate: false})).toBeUndefined();
		}));
	});

	it('tells each caller to return after at least two seconds, spread over as long again', () => {
		fc.assert(fc.property(steps, queues, fc.double({min: 0, max: 0.999, noNaN: true}), (spec, queue, share) => {
			const early = decide(spec, {forecast: {queues: [queue]}, random: {next: () => 0}});
			const late = decide(spec, {forecast: {queues: [queue]}, random: {next: () => share}});
			if (early && late) {
				expect(early.retryAfterMs).toBeGreaterThanOrEqual(2000);
				expect(Math.abs(late.retryAfterMs - (early.retryAfterMs * (1 + share)))).toBeLessThanOrEqual(2);
			}
		}));
	});
});
