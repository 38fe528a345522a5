/**
Measures what a scheduling cycle costs on services of several sizes, with many images that serve and many that fill, and
beside a long backlog that finds no room: `npx tsx test/perf/measure-cycles.ts`.
*/
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {formatTable} from '../../src/measure/table.ts';
import {createRandom} from '../../src/utils/seeded-random.ts';
import {BestEffortInterference} from '../../src/workflows/best-effort-interference.ts';
import {type LiveTask} from '../../src/workflows/live-model.ts';
import {
	createWorker, createWorkflow, load, placeAll, run,
} from '../site-fleet.ts';
import {createSpec, createStep} from '../simulated-site.ts';

const repeats = 15;
const servingJobs = 40;
const servingImages = 16;
const fillingJobs = 40;
const fillingImages = 30;
const tasksPerJob = 20;
const shortTasks = 20;

/** Workers of 16 processors, each with three serving tasks and two that fill, of many jobs; long and short jobs wait. */
const createFleet = (size: number, {waitingJobs, filling: fillingPerWorker}: {waitingJobs: number; filling: number}) => {
	const random = createRandom(1);
	const createFilling = (id: string, count: number, image: number) => createWorkflow(id, createSpec([createStep({
		count, isFilling: true, image: `fill-${image}`, milliCpu: 1800,
	})]));
	const serving = Array.from({length: servingJobs}, (_, index) => createWorkflow(`s${index}`, createSpec([createStep({
		count: Math.ceil(3 * size / servingJobs), isLasting: true, targetMs: 24, image: `serve-${index % servingImages}`, milliCpu: 3500,
	})])));
	const filling = Array.from({length: fillingJobs}, (_, index) => createFilling(`f${index}`, Math.ceil(fillingPerWorker * size / fillingJobs), index % fillingImages));
	const waiting = Array.from({length: waitingJobs}, (_, index) => createFilling(`w${index}`, tasksPerJob, random.below(fillingImages)));
	const short = createWorkflow('c', createSpec([createStep({count: shortTasks, milliCpu: 400})]));
	const {model} = load([...serving, ...filling, ...waiting, short]);
	const workers = Array.from({length: size}, (_, index) => createWorker(`host-${index}`, 16_000, ['a', `r1-${Math.floor(index / 8)}`]));
	const tasks = [...model.getWaitingTasks(0, () => false)];
	const isRunning = ({ref: {workflowId}}: LiveTask) => workflowId.startsWith('s') || workflowId.startsWith('f');
	for (const [index, task] of tasks.filter(task => isRunning(task)).entries()) {
		run(task, workers[index % size]!, {recent: task.step.spec.isFilling ? 1800 : 12, percent: 100});
	}

	return {model, workers};
};

/** Half of the pairs disturb each other, and all are known. */
const createHarm = (): BestEffortInterference => {
	const random = createRandom(2);
	const harm = new BestEffortInterference();
	harm.restore(Array.from({length: servingImages * fillingImages}, (_, index) => ({
		server: `serve-${index % servingImages}`, filler: `fill-${Math.floor(index / servingImages)}`, mean: random.below(2) * random.next() * 0.2, deviation: 0.02,
	})), 0);
	return harm;
};

const getMedian = (values: number[]): number => values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)]!;

const cases = [
	{size: 11, waitingJobs: 20, filling: 2},
	{size: 160, waitingJobs: 20, filling: 2},
	{size: 1000, waitingJobs: 20, filling: 2},
	{size: 15, waitingJobs: 70, filling: 8},
	{size: 160, waitingJobs: 200, filling: 8},
];
const rows = cases.map(({size, ...load}) => {
	const {model, workers} = createFleet(size, load);
	const harm = createHarm();
	let starts = 0;
	const times = Array.from({length: repeats}, () => {
		const startMs = performance.now();
		starts = placeAll(model, workers, {harm}).length;
		return performance.now() - startMs;
	});
	const cycleMs = getMedian(times);
	return {labels: {workers: String(size), waitingJobs: String(load.waitingJobs)}, figures: {cycleMs, starts, usForStart: 1000 * cycleMs / Math.max(1, starts)}};
});

process.stdout.write(`${formatTable(rows).join('\n')}\n`);
