/**
Measures what a round of placement costs beside serving tasks, and a look for other places: `npx tsx test/perf/measure-filling.ts`.
*/
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {formatTable} from '../../src/measure/table.ts';
import {BestEffortInterference} from '../../src/workflows/best-effort-interference.ts';
import {type LiveTask} from '../../src/workflows/live-model.ts';
import {createPlacementCheck} from '../../src/workflows/placement.ts';
import {createPolicy} from '../../src/workflows/policy.ts';
import {
	createWorker, createWorkflow, load, placeAll, run,
} from '../site-fleet.ts';
import {createSpec, createStep} from '../simulated-site.ts';

const repeats = 30;
const heldTasks = 30;
const waitingTasks = 40;

/** Workers of 16 processors, each with four serving tasks and three that fill; long jobs wait. */
const createFleet = (size: number) => {
	const {model} = load([
		createWorkflow('s', createSpec([createStep({
			count: 4 * size, isLasting: true, targetMs: 24, image: 'serve', milliCpu: 3500,
		})])),
		createWorkflow('f', createSpec([createStep({
			count: 3 * size, isFilling: true, image: 'fill', milliCpu: 1800,
		})])),
		createWorkflow('w', createSpec([createStep({
			count: waitingTasks, isFilling: true, image: 'wait', milliCpu: 1800,
		})])),
	]);
	const tasks = [...model.getWaitingTasks(0, () => false)];
	const workers = Array.from({length: size}, (_, index) => createWorker(`host-${index}`, 16_000));
	for (const [index, task] of tasks.slice(0, 7 * size).entries()) {
		run(task, workers[index % size]!, {recent: task.step.spec.isFilling ? 1800 : 12, percent: 100});
	}

	return {model, workers, held: tasks.slice(4 * size, (4 * size) + heldTasks)};
};

const measureMs = (act: () => void): number => {
	const times = Array.from({length: repeats}, () => {
		const startMs = performance.now();
		act();
		return performance.now() - startMs;
	});
	return times.toSorted((a, b) => a - b)[repeats / 2]!;
};

const rows = [11, 72, 300].map(size => {
	const {model, workers, held} = createFleet(size);
	const harm = new BestEffortInterference();
	const terms = {interference: harm, isAllowed: () => true, policy: createPolicy()};
	const askAnew = (task: LiveTask) => createPlacementCheck(workers, terms)(task);
	const round = measureMs(() => placeAll(model, workers, {harm}));
	const before = measureMs(() => held.filter(task => askAnew(task)));
	const after = measureMs(() => {
		const hasPlace = createPlacementCheck(workers, terms);
		held.filter(task => hasPlace(task));
	});
	return {
		labels: {workers: String(size)}, figures: {roundMs: round, lookForEachTaskMs: before, oneLookMs: after},
	};
});

process.stdout.write(`${formatTable(rows).join('\n')}\n`);
