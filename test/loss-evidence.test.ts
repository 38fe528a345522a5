/**
Log lines from which on-call can tell why a run was taken for lost: what the owner knew of the run, and how old and which the
state was that decided.
*/
import {
	afterEach, beforeEach, expect, it,
} from 'vitest';
import {StoreFault} from '../src/standin/memory-store.ts';
import {createSite, jobId} from './site-setup.ts';
import {createSpec, createStep, type SimulatedSite} from './simulated-site.ts';

let site: SimulatedSite;

const getFields = (event: string): Record<string, unknown> | undefined => site.notes.find(note => note.event === event)?.fields;

beforeEach(async () => {
	site = await createSite(1, 1);
	site.plan = () => ({workMs: 60_000});
	await site.submit(jobId, createSpec([createStep()]));
	await site.clock.advance(500);
});

afterEach(() => {
	site.stop();
});

it('a run lost with its worker tells the state that showed it and when the run was ordered', async () => {
	site.hosts.get('host-0')!.worker.crash();
	await site.clock.advance(3000);
	const lost = getFields('run lost')!;
	const {agent} = site.hosts.get('host-0')!;
	expect(lost).toMatchObject({
		taskId: `${jobId}.0.0.0`, phase: 'running', isOrderPending: false, orderedLife: agent!.state.life, state: {agentLife: agent!.state.life, isOver: false},
	});
	expect(lost.orderedAgoMs).toBeGreaterThan(0);
	expect((lost.state as {version: number}).version).toBeGreaterThanOrEqual(lost.confirmedVersion as number);
	expect((lost.state as {ageMs: number}).ageMs).toBeLessThan(1000);
});

it('a run lost with its agent tells the sessions and how long ago the loss was declared', async () => {
	site.killAgent('host-0');
	await site.clock.advance(15_000);
	expect(getFields('loss stored')).toMatchObject({host: 'host-0', session: 0, newestSession: 0});
	expect(getFields('run lost')).toMatchObject({reason: 'agent-lost', session: 0, lostSession: 0});
	expect(getFields('run lost')!.declaredAgoMs).toBeGreaterThan(7000);
});

it('expired leases tell the end of the latest one and how long the agent has known the worker', async () => {
	site.store.getFault = ({client}) => client === 'host-0' ? StoreFault.LoseRequest : StoreFault.None;
	site.hosts.get('host-0')!.worker.isUnresponsive = true;
	expect(await site.waitFor(() => getFields('leases over without an answer') !== undefined, 12_000)).toBeDefined();
	const over = getFields('leases over without an answer')!;
	expect(over.sentUntilMs).toBeGreaterThan(over.sampleClockMs as number);
	expect(over.knownForMs).toBeGreaterThan(over.answeredAgoMs as number);
});

it('an agent tells which owner gave a start and how it learned of that owner', async () => {
	expect(site.notes.find(({source, event}) => source === 'host-0' && event === 'start answered')?.fields).toMatchObject({
		taskId: `${jobId}.0.0.0`, run: 1, epoch: 1, isStarted: true,
	});
	expect(site.notes.find(({source, event}) => source === 'host-0' && event === 'newer owner')?.fields).toMatchObject({epoch: 1, before: 0});
});

it('a reconciled owner tells how old the state of each agent is', async () => {
	expect(getFields('settled')!.stateAgesMs).toHaveProperty('host-0');
});

it('a state that is handled more than a second after it was built is logged with its age', async () => {
	site.getAnswerDelayMs = () => 1500;
	expect(await site.waitFor(() => getFields('state late') !== undefined, 8000)).toBeDefined();
	expect(getFields('state late')!.ageMs).toBeGreaterThan(1000);
});

it('an owner that waits for an agent after its claim tells which one, and how many tasks wait for it', async () => {
	site.killAgent('host-0');
	site.killEntry('entry-0');
	site.startEntry('entry-1');
	expect(await site.waitFor(() => getFields('reconciliation waits') !== undefined, 5000)).toBeDefined();
	expect(getFields('reconciliation waits')).toMatchObject({
		missing: [{host: 'host-0', hasAnswered: false}], heldTasks: 1, longestWait: {taskId: `${jobId}.0.0.0`},
	});
	expect(await site.waitFor(() => site.notes.some(({source, event}) => source === 'entry-1' && event === 'settled'), 20_000)).toBeDefined();
	const {waitedMs} = site.notes.find(({source, event}) => source === 'entry-1' && event === 'settled')!.fields as {waitedMs: Record<string, number>};
	expect(waitedMs['host-0']).toBeGreaterThan(5000);
});

it('a stop tells who ordered it and why', async () => {
	await site.cancel(jobId);
	expect(await site.waitFor(() => getFields('stop answered') !== undefined, 3000)).toBeDefined();
	expect(getFields('run not needed')).toMatchObject({taskId: `${jobId}.0.0.0`, host: 'host-0', isJobFinished: true});
	expect(getFields('stop answered')).toMatchObject({taskId: `${jobId}.0.0.0`, epoch: 1, isDone: true});
});
