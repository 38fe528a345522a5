/**
Workers whose capacity shrinks and grows again while they run.
*/
import {afterEach, expect, it} from 'vitest';
import {OrderRefusal, OrderType} from '../src/types/fleet.ts';
import {WorkflowState} from '../src/types/workflows.ts';
import {
	createJobId, createSite, jobId, otherId,
} from './site-setup.ts';
import {createSpec, createStep, type SimulatedSite} from './simulated-site.ts';

let site: SimulatedSite;

afterEach(() => {
	site.stop();
	expect(site.violations).toEqual([]);
});

/** Latency of a call to the worker. */
const callMs = 5;

/** The worker announces its new capacity, and changes it once calls sent before have arrived. */
const setCapacity = async (host: string, milliCpu: number): Promise<void> => {
	const {worker, agent} = site.hosts.get(host)!;
	agent!.handleAnnouncement({...worker.announce(), milliCpu});
	await site.clock.advance(callMs);
	worker.setMilliCpu(milliCpu);
};

const isAnyRunning = (host: string): boolean => site.hosts.get(host)!.worker.running.size > 0;

it('are not overcommitted while their owner does not know of the reduced capacity', async () => {
	site = await createSite(1);
	site.plan = () => ({workMs: 300});
	for (let round = 0; round < 20; round++) {
		const id = createJobId(round + 1);
		await setCapacity('host-0', 1000);
		await site.submit(id, createSpec([createStep({count: 4})]));
		await site.clock.advance(400);
		await setCapacity('host-0', 4000);
		await site.clock.advance(700);
	}

	expect(site.events.filter(event => event.type === 'ended').length).toBe(80);
});

it('refuse an order that was decided when they had more capacity', async () => {
	site = await createSite(1);
	await setCapacity('host-0', 1000);
	const {agent, worker, clock} = site.hosts.get('host-0')!;
	const {answers} = await site.settle(agent!.order({
		epoch: site.entries.get('entry-0')!.follower.fold.epoch,
		workerId: worker.workerId,
		agentLife: agent!.state.life,
		notAfterMs: clock.monotonicMs() + 1000,
		capacity: {milliCpu: 4000, memoryMb: 64_000, accelerators: 0},
		orders: [{
			type: OrderType.Start, start: {
				taskId: `${jobId}.0.0.0`, run: 1, input: '', checkpoint: '',
			},
		}],
	}));
	expect(answers).toEqual([{isDone: false, refusal: OrderRefusal.CapacityReduced}]);
	expect(isAnyRunning('host-0')).toBe(false);
});

it('get no further task while running tasks are being stopped or use all remaining capacity', async () => {
	site = await createSite(1);
	site.plan = () => ({workMs: 3000});
	await site.submit(jobId, createSpec([createStep({count: 2})]));
	await site.waitFor(() => isAnyRunning('host-0'), 2000);
	await setCapacity('host-0', 2000);
	await site.submit(otherId, createSpec([createStep()]));
	await site.cancel(jobId);
	await site.waitFor(() => site.isRunning(`${otherId}.0.0.0`), 5000);
	expect(site.isRunning(`${jobId}.0.0.0`)).toBe(false);
});

it('get tasks again as soon as their capacity has grown', async () => {
	site = await createSite(1);
	await setCapacity('host-0', 500);
	await site.clock.advance(1000);
	await site.submit(jobId, createSpec([createStep()]));
	await site.clock.advance(2000);
	expect(site.getStarts(`${jobId}.0.0.0`)).toBe(0);
	await setCapacity('host-0', 4000);
	expect(await site.waitFor(() => site.isRunning(`${jobId}.0.0.0`), 5000)).toBeLessThan(100);
});

it('may have no capacity for a while, also for best-effort and latency-critical tasks', async () => {
	site = await createSite(2);
	site.plan = ({taskId}) => ({workMs: taskId.startsWith(otherId) ? undefined : 1000});
	await site.submit(otherId, createSpec([createStep({
		count: 2, maxPerWorker: 1, isLasting: true, image: 'serve', targetMs: 100,
	})]));
	await site.clock.advance(500);
	const steps = [createStep({count: 6, isFilling: true, image: 'fill'}), createStep({count: 4})];
	await site.submit(createJobId(1), createSpec(steps));
	await site.clock.advance(100);
	await setCapacity('host-0', 0);
	await site.clock.advance(1500);
	await site.submit(createJobId(2), createSpec(steps));
	await site.clock.advance(800);
	expect([...site.hosts.get('host-0')!.worker.running.keys()]).not.toContainEqual(expect.stringContaining(createJobId(2)));
	await site.clock.advance(9000);
	expect(await site.getState(createJobId(1))).toBe(WorkflowState.Completed);
	expect(await site.getState(createJobId(2))).toBe(WorkflowState.Completed);
	await setCapacity('host-0', 4000);
	await site.submit(createJobId(3), createSpec([createStep({count: 8, isFilling: true, image: 'fill'})]));
	await site.clock.advance(500);
	expect([...site.hosts.get('host-0')!.worker.running.keys()]).toContainEqual(expect.stringContaining(createJobId(3)));
});
