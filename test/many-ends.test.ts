/**
Workers that list only a part of their ended runs: the others follow once the first are forgotten.
*/
import {
	afterEach, expect, it,
} from 'vitest';
import {WorkerRuns} from '../src/agents/worker-runs.ts';
import {createSite, jobId, otherId} from './site-setup.ts';
import {createSpec, createStep, type SimulatedSite} from './simulated-site.ts';

let site: SimulatedSite | undefined;

const getStarts = (id: string) => site!.events.filter(event => event.type === 'started' && event.taskId.startsWith(id)).length;

afterEach(() => {
	site?.stop();
	expect(site?.violations ?? []).toEqual([]);
	site = undefined;
});

/** Guards against tasks that run again after they succeeded: a run that is neither running nor among the listed ends was taken for lost. */
it('runs whose ends the worker does not list yet are not lost', async () => {
	site = await createSite(2, 1);
	const {worker} = site.hosts.get('host-0')!;
	worker.maxListedEnds = 2;
	site.hosts.get('host-1')!.worker.maxListedEnds = 2;
	await site.submit(jobId, createSpec([createStep({count: 16, milliCpu: 500})]));
	await site.clock.advance(5000);
	expect(site.notes.filter(({event}) => event === 'run lost')).toHaveLength(0);
	expect(getStarts(jobId)).toBe(16);
	expect(await site.getState(jobId)).toBe('completed');
	await site.submit(otherId, createSpec([createStep({count: 16, milliCpu: 500})]));
	await site.clock.advance(5000);
	expect(await site.getState(otherId)).toBe('completed');
});

/** Guards against a restarted agent, or a new owner, that takes a part of the ends for all: runs that ended meanwhile would run again. */
it.each(['agent', 'agent and owner'])('runs that ended while the %s was away do not run again', async who => {
	site = await createSite(2, 2);
	const {worker} = site.hosts.get('host-0')!;
	worker.maxListedEnds = 2;
	await site.submit(jobId, createSpec([createStep({count: 16, milliCpu: 500})]));
	await site.clock.advance(500);
	expect(worker.running.size).toBe(8);
	site.killAgent('host-0');
	if (who !== 'agent') {
		site.killEntry(site.getOwnerName()!);
	}

	await site.clock.advance(1000);
	expect(worker.running.size).toBe(0);
	site.startAgent('host-0');
	await site.clock.advance(8000);
	expect(getStarts(jobId)).toBe(16);
	expect(await site.getState(jobId)).toBe('completed');
});

/** Guards against an owner of the previous version that stores no ends of an agent without a list, and after a takeover takes its leases for expired. */
it('a restarted agent without all ends has a list for owners of the previous version alone', async () => {
	site = await createSite(1, 1);
	site.plan = ({taskId}) => ({workMs: taskId.startsWith(jobId) ? 60_000 : 200});
	const host = site.hosts.get('host-0')!;
	host.worker.maxListedEnds = 0;
	await site.submit(jobId, createSpec([createStep({estimateMs: 60_000})]));
	await site.submit(otherId, createSpec([createStep({count: 3})]));
	await site.clock.advance(1000);
	site.killAgent('host-0');
	site.startAgent('host-0');
	await site.clock.advance(1500);
	const getState = async (storesUnlistedEnds?: boolean) => site!.settle(host.agent!.watch({
		epoch: 1, agentLife: '', knownVersion: 0, waitMs: 0, crashesStored: 0, storesUnlistedEnds,
	}, new AbortController().signal));
	expect(await getState(true)).toMatchObject({isListed: false});
	const state = await getState();
	expect(state.isListed).toBe(true);
	expect(state.running.map(({taskId}) => taskId)).toEqual([`${jobId}.0.0.0`]);
});

/** Guards against a start without an answer that counts as never begun while its end is not listed yet. */
it('a start without an answer stays open until all ends are listed', () => {
	const runs = new WorkerRuns();
	const listing = {clockMs: 5000, running: [], ended: []};
	runs.recordStartSent('j.0.0.0', 1, {validUntilMs: 1000, nowMs: 0});
	runs.recordStartUnanswered('j.0.0.0', 1);
	runs.applyListing({...listing, hasMoreEnds: true}, 100);
	expect(runs.starting).toEqual([{taskId: 'j.0.0.0', run: 1}]);
	expect(runs.isListed).toBe(false);
	runs.applyListing({...listing, hasMoreEnds: false}, 200);
	expect(runs.starting).toEqual([]);
	expect(runs.isListed).toBe(true);
});
