/**
Orders to throttle whose answers overtake each other.
*/
import {expect, it} from 'vitest';
import {type Order, type OrdersReply} from '../src/types/fleet.ts';
import {ManualClock} from '../src/utils/manual-clock.ts';
import {type AgentLinks} from '../src/workflows/agent-links.ts';
import {BestEffortInterference} from '../src/workflows/best-effort-interference.ts';
import {ThrottleController} from '../src/workflows/throttle-controller.ts';
import {
	createWorker, createWorkflow, load, run,
} from './site-fleet.ts';
import {createSpec, createStep} from './simulated-site.ts';

/** Guards against a worker that keeps a throttle which a delayed order has set after a newer one was answered. */
it('a throttle is ordered again if an older order is answered after it', async () => {
	const clock = new ManualClock();
	const worker = createWorker('x');
	const {model} = load([createWorkflow('f', createSpec([createStep({isFilling: true, image: 'heavy'})]))]);
	const [task] = [...model.getWaitingTasks(0, () => false)];
	const live = run(task!, worker);
	const sent: Array<{percents: number[]; answer: () => void}> = [];
	const links = {
		order: async (_: unknown, orders: Order[]) => new Promise<OrdersReply>(resolve => {
			sent.push({
				percents: orders.map(order => 'percent' in order ? order.percent : Number.NaN),
				answer() {
					resolve({answers: orders.map(() => ({isDone: true})), version: 1});
				},
			});
		}),
	};
	const controller = new ThrottleController({
		interference: new BestEffortInterference(), clock, links: links as unknown as AgentLinks, note: () => undefined,
	});
	const setPercent = async (percent: number): Promise<void> => {
		// Without a latency-critical task throttles are raised once they have settled, which they have not here.
		worker.throttles.set('heavy', {percent, changedAtMs: clock.monotonicMs()});
		controller.handleState(worker);
		await clock.advance(1);
	};

	await setPercent(50);
	await setPercent(0);
	expect(sent.map(({percents}) => percents)).toEqual([[50], [0]]);
	sent[1]!.answer();
	await clock.advance(1);
	sent[0]!.answer();
	await clock.advance(1);
	expect(live.throttlePercent).not.toBe(0);
	await setPercent(0);
	expect(sent.map(({percents}) => percents)).toEqual([[50], [0], [0]]);
	sent[2]!.answer();
	await clock.advance(1);
	await setPercent(0);
	expect(sent).toHaveLength(3);
});
