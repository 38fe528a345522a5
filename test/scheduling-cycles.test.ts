/**
Scheduling cycles: what they remember of a job from one cycle to the next.
*/
import {expect, it} from 'vitest';
import {ManualClock} from '../src/utils/manual-clock.ts';
import {WorkMeter} from '../src/utils/work-meter.ts';
import {BestEffortInterference} from '../src/workflows/best-effort-interference.ts';
import {type Start} from '../src/workflows/placement.ts';
import {OrderWindow} from '../src/workflows/order-window.ts';
import {createPolicy} from '../src/workflows/policy.ts';
import {Quarantine} from '../src/workflows/quarantine.ts';
import {RunTimes} from '../src/workflows/run-times.ts';
import {SchedulingCycles} from '../src/workflows/scheduling-cycles.ts';
import {
	createWorker, createWorkflow, load, run,
} from './site-fleet.ts';
import {createSpec, createStep, queue} from './simulated-site.ts';

const ignore = () => undefined;
const bestEffortStep = createStep({isFilling: true, image: 'heavy'});

/** Guards against a job that waits anew for each of its steps although its tasks only start one at a time. */
it('starts the first task of the next step at once after a job has waited for its only start', async () => {
	const clock = new ManualClock();
	const {model} = load([
		createWorkflow('s', createSpec([createStep({
			isLasting: true, targetMs: 100, image: 'serve', milliCpu: 3000,
		})])),
		createWorkflow('f', createSpec([bestEffortStep, {...bestEffortStep, after: [0]}])),
	]);
	const worker = createWorker('host');
	run(model.workflows.get('s')!.occurrences.get(0)![0]!.tasks[0]!, worker, {recent: 40, percent: 100});
	const interference = new BestEffortInterference();
	interference.restore([{
		server: 'serve', filler: 'heavy', mean: 0.4, deviation: 0.01,
	}], 0);
	const pool = {service: queue.service, quarantine: new Quarantine({workers: new Map([['host', worker]]), note: ignore}), getSchedulable: () => [worker]};
	const started: Array<{step: number; atMs: number}> = [];
	const cycles = new SchedulingCycles({
		clock,
		signal: new AbortController().signal,
		model,
		interference,
		times: new RunTimes(),
		policy: createPolicy(),
		meter: new WorkMeter(clock, ignore),
		isAllowed: () => true,
		window: new OrderWindow(clock),
		pools: {getAll: () => [pool], get: () => pool},
		getWaiting: nowMs => model.getWaitingTasks(nowMs, () => false),
		getRuns: () => [...worker.runs],
		getStartDelayMs: () => 10,
		onStarts(starts: Start[]) {
			for (const {task} of starts) {
				started.push({step: task.ref.step, atMs: clock.monotonicMs()});
				model.completeUnit(task, clock.monotonicMs());
			}
		},
		note: ignore,
	});
	for (let cycle = 0; cycle < 40 && started.length < 2; cycle++) {
		cycles.requestCycle();
		await clock.advance(50);
	}

	expect(started.map(({step}) => step)).toEqual([0, 1]);
	expect(started[0]!.atMs).toBeGreaterThan(1500);
	expect(started[1]!.atMs - started[0]!.atMs).toBeLessThan(200);
});
