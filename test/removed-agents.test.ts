/**
Agents that the owner removes after their leases have expired, and that come back at that moment.
*/
import {afterEach, expect, it} from 'vitest';
import {agentsTopic} from '../src/agents/control-records.ts';
import {StoreFault, type StoreCall} from '../src/standin/memory-store.ts';
import {createSite, jobId, otherId} from './site-setup.ts';
import {createSpec, createStep, type SimulatedSite} from './simulated-site.ts';

const workMs = 120_000;
const taskId = `${jobId}.0.0.0`;

let site: SimulatedSite;

const isNoted = (event: string) => () => site.notes.some(note => note.event === event);

const isRegistryRead = ({kind, ref, client}: StoreCall): boolean => kind === 'read' && client === 'entry-0' && ref?.topic === agentsTopic;

afterEach(() => {
	site.stop();
	expect(site.violations).toEqual([]);
});

/** Cuts the entry off from `host-0` until its loss is stored, and loses the entry's reads of registrations from then on. */
const declareLost = async (): Promise<void> => {
	site.cuts.add('entry-0>host-0');
	expect(await site.waitFor(isNoted('loss stored'), 10_000)).toBeDefined();
	site.store.getFault = call => isRegistryRead(call) ? StoreFault.LoseRequest : StoreFault.None;
};

/** Starts one long task on each host. */
const startTasks = async (): Promise<void> => {
	site = await createSite(2, 1);
	site.plan = () => ({workMs});
	await site.submit(jobId, createSpec([createStep({count: 2, milliCpu: 3000, estimateMs: workMs})]));
	await site.clock.advance(500);
};

/** Guards against a removal that compares with the session of an answer that came meanwhile: a later owner would not know the agent and its runs. */
it('the new registration of an agent that answers while its old one is being removed stays', async () => {
	await startTasks();
	await declareLost();
	await site.clock.advance(6800);
	expect(site.notes.filter(({source, event}) => source === 'host-0' && event === 'registered')).toHaveLength(2);
	site.store.getFault = () => StoreFault.None;
	site.store.getDelayMs = call => isRegistryRead(call) ? 900 : 0;
	site.getAnswerDelayMs = () => 900;
	site.cuts.delete('entry-0>host-0');
	await site.clock.advance(3000);
	site.store.getDelayMs = () => 0;
	site.getAnswerDelayMs = () => 0;
	await site.clock.advance(3000);
	await site.submit(otherId, createSpec([createStep({count: 4, milliCpu: 300, estimateMs: workMs})]));
	await site.clock.advance(1000);
	expect(site.hosts.get('host-0')!.worker.running.size).toBeGreaterThan(0);
	const running = [...site.hosts.values()].flatMap(({worker}) => [...worker.running.keys()]);
	site.hosts.get('host-1')!.worker.setMilliCpu(8000);
	await site.clock.advance(1000);
	site.killEntry('entry-0');
	site.startEntry('entry-1');
	await site.clock.advance(15_000);
	expect(site.notes.filter(({source, event}) => source === 'entry-1' && event === 'run adopted').map(({fields}) => fields.taskId)).toEqual(expect.arrayContaining(running));
});

/** Guards against a late state that adds runs to a worker that was removed: nothing ends them there, and their tasks never start again. */
it('a task starts again although a removed agent listed an earlier run of it', async () => {
	await startTasks();
	expect(site.hosts.get('host-0')!.worker.running.has(taskId)).toBe(true);
	await declareLost();
	await site.clock.advance(4300);
	site.getAnswerDelayMs = () => 3300;
	site.cuts.delete('entry-0>host-0');
	await site.clock.advance(2500);
	site.killAgent('host-0');
	site.hosts.get('host-0')!.worker.crash(workMs);
	expect(await site.waitFor(() => site.notes.some(({event, fields}) => event === 'run lost' && fields.taskId === taskId), 2000)).toBeDefined();
	await site.clock.advance(1000);
	site.getAnswerDelayMs = () => 0;
	site.store.getFault = () => StoreFault.None;
	site.hosts.get('host-1')!.worker.setMilliCpu(8000);
	await site.clock.advance(20_000);
	expect(site.getStarts(taskId)).toBe(2);
});
