/**
Inputs of jobs that agents keep, and starts that leave them out.
*/
import {afterEach, expect, it} from 'vitest';
import {JobInputs} from '../src/agents/job-inputs.ts';
import {type WatchReply, type WorkerStart} from '../src/types/fleet.ts';
import {createJobId, createSite, jobId} from './site-setup.ts';
import {createSpec, createStep, type SimulatedSite} from './simulated-site.ts';

const start = {
	taskId: `${jobId}.0.0.0`, run: 1, checkpoint: '',
};

let site: SimulatedSite | undefined;

afterEach(() => {
	site?.stop();
	expect(site?.violations ?? []).toEqual([]);
	site = undefined;
});

it('completes a start with the input that an earlier one of its job carried', () => {
	const inputs = new JobInputs();
	expect(inputs.complete(start)).toBeUndefined();
	inputs.keep({...start, input: 'text'});
	expect(inputs.complete({...start, taskId: `${jobId}.0.1.7`})).toMatchObject({input: 'text'});
	expect(inputs.complete({...start, input: 'newer'})).toMatchObject({input: 'newer'});
});

it('drops the input that was not used for longest', () => {
	const inputs = new JobInputs();
	const getTaskId = (index: number) => `${createJobId(index)}.0.0.0`;
	const input = 'x'.repeat(500_000);
	for (let index = 0; index < 5; index++) {
		inputs.keep({...start, taskId: getTaskId(index), input});
		inputs.complete({...start, taskId: getTaskId(0)});
	}

	expect([0, 1, 2, 3, 4].map(index => inputs.complete({...start, taskId: getTaskId(index)}) !== undefined)).toEqual([true, false, true, true, true]);
});

/** Guards against a task that starts without its input, or not at all, after its agent has forgotten the input. */
it('gives each task its input, also after agents were restarted', async () => {
	site = await createSite(2, 2);
	const received: WorkerStart[] = [];
	site.plan = order => {
		received.push(order);
		return {workMs: 500};
	};

	await site.submit(jobId, createSpec([createStep({count: 8}), createStep({count: 8, after: [0]})], {input: 'the input'}));
	await site.clock.advance(300);
	site.killAgent('host-0');
	site.startAgent('host-0');
	expect(await site.waitFor(() => site!.events.filter(({type}) => type === 'ended').length >= 16, 20_000)).toBeDefined();
	expect(received.every(({input}) => input === 'the input')).toBe(true);
});

/** Guards against starts without input that are refused for good: an agent drops inputs when it keeps too many. */
it('sends the input again when the agent does not know it', async () => {
	site = await createSite(1, 1);
	await site.submit(jobId, createSpec([createStep({count: 2}), createStep({count: 2, after: [0]})], {input: 'the input'}));
	await site.clock.advance(500);
	const {agent} = site.hosts.get('host-0')!;
	const other = 'x'.repeat(2_000_000);
	await site.settle(agent!.order({
		epoch: 0, workerId: '', agentLife: '', notAfterMs: 0, orders: [{type: 'start' as never, start: {...start, taskId: '00000000000000ff.0.0.0', input: other}}],
	}));
	expect(await site.waitFor(() => site!.events.filter(({type}) => type === 'ended').length === 4, 10_000)).toBeDefined();
	expect(site.notes.some(({event, fields}) => event === 'start refused' && fields.refusal === 'no-input')).toBe(true);
});

/** Guards against an agent of the previous version that gets starts without input. */
it('sends each start with its input to an agent that keeps none', async () => {
	site = await createSite(1, 1);
	site.stop();
	site = await createSite(0, 1);
	const host = site.addHost('host-0');
	const {agent} = host;
	const watch = agent!.watch.bind(agent);
	agent!.watch = async (request, signal): Promise<WatchReply> => ({...await watch(request, signal), keepsInputs: undefined});
	const sent: Array<string | undefined> = [];
	const order = agent!.order.bind(agent);
	agent!.order = async request => {
		sent.push(...request.orders.map(each => 'start' in each ? each.start.input : undefined));
		return order(request);
	};

	await site.submit(jobId, createSpec([createStep({count: 2}), createStep({count: 2, after: [0]})], {input: 'the input'}));
	expect(await site.waitFor(() => sent.length === 4, 8000)).toBeDefined();
	expect(new Set(sent)).toEqual(new Set(['the input']));
});
