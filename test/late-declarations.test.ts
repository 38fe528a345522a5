/**
Declarations that an agent is lost whose append is answered only after the agent has come back.
*/
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {controlTopic} from '../src/agents/control-records.ts';
import {StoreFault, type StoreCall} from '../src/standin/memory-store.ts';
import {createSite, jobId, otherId} from './site-setup.ts';
import {createSpec, createStep, type SimulatedSite} from './simulated-site.ts';

const appendMs = 900;
const workMs = 60_000;
const taskIds = Array.from({length: 6}, (_, index) => `${jobId}.0.0.${index}`);

let site: SimulatedSite;

const isNoted = (event: string) => () => site.notes.some(note => note.event === event);

const getLostRuns = () => site.notes.filter(({event}) => event === 'run lost').map(({fields}) => fields);

const isDeclaration = ({kind, ref, client}: StoreCall): boolean => kind === 'append' && client === 'entry-0' && ref?.topic === controlTopic;

beforeEach(async () => {
	site = await createSite(3, 1);
	site.plan = () => ({workMs});
	site.store.getDelayMs = call => isDeclaration(call) ? appendMs : 0;
});

afterEach(() => {
	site.stop();
	expect(site.violations).toEqual([]);
});

/** Restarts the agent, which then answers the entry again. */
const restartAgent = async (): Promise<void> => {
	site.killAgent('host-0');
	await site.clock.advance(50);
	site.startAgent('host-0');
	site.cuts.delete('entry-0>host-0');
};

/** Submits six long tasks once the leases of a declared agent would have expired, and checks that each runs once. */
const checkSixTasks = async (): Promise<void> => {
	await site.clock.advance(14_000);
	await site.submit(jobId, createSpec([createStep({count: taskIds.length, estimateMs: workMs})]));
	await site.clock.advance(10_000);
	expect(taskIds.map(taskId => site.getStarts(taskId))).toEqual(taskIds.map(() => 1));
	expect(getLostRuns()).toEqual([]);
};

/** Guards against an answer to the append that marks the returned agent as lost for good: its runs start elsewhere at each check. */
describe('a declaration that is stored after the agent, restarted, has registered and answered', () => {
	it('takes no run of the agent for lost', async () => {
		site.cuts.add('entry-0>host-0');
		expect(await site.waitFor(isNoted('agent lost'), 10_000)).toBeDefined();
		await restartAgent();
		expect(await site.waitFor(isNoted('agent back'), appendMs)).toBeDefined();
		expect(isNoted('loss stored')()).toBe(false);
		await checkSixTasks();
		expect(isNoted('loss stored')()).toBe(true);
	});

	it('takes no run of the agent for lost if the append was repeated because the store was silent', async () => {
		const {getDelayMs} = site.store;
		site.store.getDelayMs = () => 0;
		site.store.getFault = call => isDeclaration(call) ? StoreFault.LoseRequest : StoreFault.None;
		site.cuts.add('entry-0>host-0');
		expect(await site.waitFor(isNoted('loss not stored'), 15_000)).toBeDefined();
		site.store.getFault = () => StoreFault.None;
		site.store.getDelayMs = getDelayMs;
		await site.clock.advance(200);
		await restartAgent();
		expect(await site.waitFor(isNoted('agent back'), appendMs)).toBeDefined();
		expect(isNoted('loss stored')()).toBe(false);
		await checkSixTasks();
		expect(isNoted('loss stored')()).toBe(true);
	});

	it('ends runs that the agent lists only as their leases expire, and each task starts again once', async () => {
		await site.submit(otherId, createSpec([createStep({count: 3, milliCpu: 3000, estimateMs: workMs})]));
		await site.clock.advance(500);
		const runs = [...site.hosts.get('host-0')!.worker.running.keys()];
		expect(runs).toHaveLength(1);
		site.cuts.add('entry-0>host-0');
		expect(await site.waitFor(isNoted('agent lost'), 10_000)).toBeDefined();
		await restartAgent();
		expect(await site.waitFor(isNoted('agent back'), appendMs)).toBeDefined();
		await site.clock.advance(40_000);
		expect(runs.map(taskId => site.getStarts(taskId))).toEqual([2]);
		expect(getLostRuns()).toEqual([]);
	});
});
