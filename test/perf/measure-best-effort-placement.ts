/**
Measures the time of a scheduling cycle that places best-effort tasks beside latency-critical ones; and of checking whether tasks could
be placed elsewhere, with a new placement check for each task and with one for all: `npx tsx test/perf/measure-best-effort-placement.ts`.
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
const relocatableTasks = 30;
const waitingTasks = 40;

/** Creates workers of 16 processors, each with four latency-critical and three best-effort tasks; best-effort tasks of one job wait. */
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

	return {model, workers, relocatable: tasks.slice(4 * size, (4 * size) + relocatableTasks)};
};

const measureMs = (operation: () => void): number => {
	const times = Array.from({length: repeats}, () => {
		const startMs = performance.now();
		operation();
		return performance.now() - startMs;
	});
	return times.toSorted((a, b) => a - b)[repeats / 2]!;
};

const rows = [11, 72, 300].map(size => {
	const {model, workers, relocatable} = createFleet(size);
	const interference = new BestEffortInterference();
	const options = {interference, isAllowed: () => true, policy: createPolicy()};
	const canPlaceWithNewCheck = (task: LiveTask) => createPlacementCheck(workers, options)(task);
	const placementMs = measureMs(() => placeAll(model, workers, {harm: interference}));
	const newChecksMs = measureMs(() => relocatable.filter(task => canPlaceWithNewCheck(task)));
	const sharedCheckMs = measureMs(() => {
		const canPlace = createPlacementCheck(workers, options);
		relocatable.filter(task => canPlace(task));
	});
	return {
		labels: {workers: String(size)}, figures: {cycleMs: placementMs, newCheckPerTaskMs: newChecksMs, oneCheckMs: sharedCheckMs},
	};
});

process.stdout.write(`${formatTable(rows).join('\n')}\n`);
