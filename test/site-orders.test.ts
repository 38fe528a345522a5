/**
Orders of an owner, and their expiry.
*/
import {expect, it} from 'vitest';
import {OrderRefusal, type Order} from '../src/types/fleet.ts';
import {ManualClock} from '../src/utils/manual-clock.ts';
import {type AgentLinks} from '../src/workflows/agent-links.ts';
import {type FleetWorker} from '../src/workflows/fleet-view.ts';
import {type LiveModel} from '../src/workflows/live-model.ts';
import {OrderSender} from '../src/workflows/order-sender.ts';
import {OrderWindow} from '../src/workflows/order-window.ts';
import {LossReason, RunTracker} from '../src/workflows/run-tracker.ts';
import {createWorker, createWorkflow, load} from './site-fleet.ts';
import {createSpec, createStep} from './simulated-site.ts';

const ignore = () => undefined;

const createTracker = (model: LiveModel): RunTracker => new RunTracker(model, {
	storeEnds: async () => true, onStarted: ignore, findFinishedTask: ignore, onUnknownRun: ignore, onProgress: ignore, onOutcome: ignore, onAttemptsExhausted: ignore, onChange: ignore, note: ignore,
});

/**
A start without an answer is considered never begun once its order has expired on the agent's clock. On a slow host, writing
log lines between the decision and the call takes some milliseconds; the call then had a later expiry than the run, and the
agent could begin a task that had already been started elsewhere.
*/
it('sends the agent the same expiry that the run has', async () => {
	const {model} = load([createWorkflow('0000000000000001', createSpec([createStep({count: 3})]))]);
	const worker = createWorker('host-0');
	const clock = new ManualClock();
	const sent: Array<number | undefined> = [];
	const links = {
		workers: new Map([[worker.host, worker]]),
		getNotAfterMs: (_: FleetWorker) => clock.monotonicMs() + 1500,
		async order(_worker: FleetWorker, _orders: Order[], notAfterMs?: number) {
			sent.push(notAfterMs);
		},
	} as unknown as AgentLinks;
	const sender = new OrderSender({
		clock, model, links, tracker: createTracker(model), window: new OrderWindow(clock), incompleteGangs: {has: () => false}, onAnswered: ignore, getTicket: ignore, mayRepeatStop: () => true, getStartValidityMs: () => 1500, onStaleEpoch: ignore, note() {
			clock.advanceSync(5);
		},
	});
	const tasks = [...model.getWaitingTasks(0, () => false)];
	sender.start(tasks.map(task => ({task, worker, isIdleStart: false})));
	await clock.advance(1);
	expect(tasks).toHaveLength(3);
	expect(sent).toEqual([tasks[0]!.runs[0]!.notAfterMs]);
});

/** Guards against refused starts that each reset the waiting time of their task. */
it('keeps the waiting time of a task when its start is refused', () => {
	const {model} = load([createWorkflow('0000000000000001', createSpec([createStep()]))]);
	const worker = createWorker('host-0');
	const tracker = createTracker(model);
	const [task] = [...model.getWaitingTasks(0, () => false)];
	const refused = tracker.addRun(task!, worker, 1, {nowMs: 1000, notAfterMs: 2500});
	tracker.withdraw(refused, worker);
	expect(task!.waitingSinceMs).toBe(0);
	const lost = tracker.addRun(task!, worker, 2, {nowMs: 3000, notAfterMs: 4500});
	tracker.markLost(lost, worker, LossReason.NeverStarted, {nowMs: 4600, evidence: {}});
	expect(task!.waitingSinceMs).toBe(4600);
});

/** Guards against a task that starts elsewhere while it runs, because its order is refused after a state has shown the run. */
it('keeps a run that its agent has listed although the answer to its order is a refusal', async () => {
	const {model} = load([createWorkflow('0000000000000001', createSpec([createStep()]))]);
	const worker = createWorker('host-0');
	const clock = new ManualClock();
	const tracker = createTracker(model);
	const links = {
		workers: new Map([[worker.host, worker]]),
		getNotAfterMs: () => 1500,
		async order() {
			await clock.sleep(100);
			return {answers: [{isDone: false, refusal: OrderRefusal.NoCapacity}], version: 2};
		},
	} as unknown as AgentLinks;
	const sender = new OrderSender({
		clock, model, links, tracker, window: new OrderWindow(clock), incompleteGangs: {has: () => false}, onAnswered: ignore, getTicket: ignore, mayRepeatStop: () => true, getStartValidityMs: () => 1500, onStaleEpoch: ignore, note: ignore,
	});
	const [task] = [...model.getWaitingTasks(0, () => false)];
	sender.start([{task: task!, worker, isIdleStart: false}]);
	await clock.advance(50);
	tracker.confirm(task!.runs[0]!, 2, 50);
	await clock.advance(100);
	expect(task!.runs).toHaveLength(1);
});

/** Guards against an owner that is short of processors and starts ever less, because it handles answers late. */
it('keeps its congestion window where only the handling of an answer takes long', async () => {
	const {model} = load([createWorkflow('0000000000000001', createSpec([createStep()], {input: 'x'.repeat(40_000)}))]);
	const worker = createWorker('host-0');
	const clock = new ManualClock();
	worker.agentClock.addReading(0, {sentAtMs: 0, handledAtMs: 0});
	const links = {
		workers: new Map([[worker.host, worker]]),
		getNotAfterMs: () => 1500,
		async order() {
			await clock.sleep(1000);
			return {answers: [{isDone: true}], version: 2, receivedAtMs: 5};
		},
	} as unknown as AgentLinks;
	const window = new OrderWindow(clock);
	const firstBytes = window.sizeBytes;
	const sender = new OrderSender({
		clock, model, links, tracker: createTracker(model), window, onAnswered: ignore, incompleteGangs: {has: () => false}, getTicket: ignore, mayRepeatStop: () => true, getStartValidityMs: () => 1500, onStaleEpoch: ignore, note: ignore,
	});
	const [task] = [...model.getWaitingTasks(0, () => false)];
	sender.start([{task: task!, worker, isIdleStart: false}]);
	await clock.advance(1100);
	expect(window.inFlightBytes).toBe(0);
	expect(window.sizeBytes).toBeGreaterThanOrEqual(firstBytes);
});
