/**
Agents that answer without a worker, because it has ended or has not come yet.
*/
import {afterEach, expect, it} from 'vitest';
import {AgentState} from '../src/agents/agent-state.ts';
import {type WorkerReport} from '../src/types/fleet.ts';
import {
	createLongRunningSite, endWorker, killOwner, replaceOwner, resumeMs, startLongRunningTask, stopAgent, waitForStarts,
} from './departures.ts';
import {type SimulatedSite} from './simulated-site.ts';

let site: SimulatedSite | undefined;

const getReconciledAfterMs = (source: string): number | undefined => site!.notes.find(note => note.source === source && note.event === 'settled')?.fields.tookMs as number | undefined;

afterEach(() => {
	site?.stop();
	expect(site?.violations ?? []).toEqual([]);
	site = undefined;
});

/** Guards against a new owner that waits for the runs of an agent whose worker has ended: all tasks from before its claim wait with it. */
it('a task starts again in time after a takeover while an agent has no worker any more', async () => {
	site = await createLongRunningSite(4, 2);
	const {taskId, host} = await startLongRunningTask(site, 10);
	endWorker(site, [...site.hosts.keys()].find(name => name !== host)!);
	await site.clock.advance(500);
	killOwner(site);
	site.hosts.get(host)!.worker.crash();
	expect(await waitForStarts(site, taskId, 2)).toBeLessThan(resumeMs);
});

/** Guards against the same with the worker of the task itself, whose agent is then stopped: as on a host that is taken away after its work has been moved. */
it('a task that was moved away from a worker that ends starts again in time although the owner is replaced and the agent stopped', async () => {
	site = await createLongRunningSite(4, 3);
	const {taskId, host} = await startLongRunningTask(site, 10);
	const {worker} = site.hosts.get(host)!;
	killOwner(site);
	worker.isDraining = true;
	expect(await site.waitFor(() => !worker.running.has(taskId), 10_000)).toBeDefined();
	killOwner(site);
	await site.clock.advance(700);
	endWorker(site, host);
	await site.clock.advance(1000);
	await stopAgent(site, host);
	expect(await waitForStarts(site, taskId, 2)).toBeLessThan(resumeMs);
});

/** Guards against a takeover that waits for an agent without a predecessor, whose worker has not come yet. */
it('a new owner does not wait for an agent on a new host without a worker', async () => {
	site = await createLongRunningSite(2, 2);
	site.addHost('host-new', 4000, ['a'], 'hall', true);
	await site.clock.advance(1000);
	const next = await replaceOwner(site);
	await site.clock.advance(3000);
	expect(getReconciledAfterMs(next)).toBeLessThan(2000);
});

/** Guards against an agent that takes a worker for gone with all its runs because of a late announcement, while a later incarnation runs tasks of its predecessor. */
it.each([
	{isFirstProcess: false, isListed: false, isVacant: false},
	{isFirstProcess: false, isListed: true, isVacant: true},
	{isFirstProcess: true, isListed: false, isVacant: true},
])('an agent without a worker knows that nothing runs: first process $isFirstProcess, listed $isListed', ({isFirstProcess, isListed, isVacant}) => {
	const state = new AgentState('life', {startedAtMs: 0, leaseMs: 7000, maxLeaseMs: 6000});
	const report: WorkerReport = {
		workerId: 'i-1', service: 's', failureDomain: 'f', isDraining: false, milliCpu: 1000, memoryMb: 1000, accelerators: 0, labels: [], sequence: 1,
	};
	state.isFirstProcess = isFirstProcess;
	expect(state.isVacant(100)).toBe(isFirstProcess);
	state.applyAnnouncement(report, 0);
	expect(state.isVacant(100)).toBe(false);
	if (isListed) {
		state.worker!.runs.applyListing({
			clockMs: 50_000, running: [], ended: [], hasMoreEnds: false,
		}, 0);
	}

	state.removeWorker('i-1', 0);
	expect(state.isVacant(100)).toBe(isVacant);
});

/** Guards against an agent that never learns that nothing runs: it was restarted after its worker had ended, and each new owner waits for it anew. */
it.each([
	['is still there', false],
	['was stopped', true],
])('a task starts again in time after a takeover although an agent that was restarted without a worker %s', async (_, isStopped) => {
	site = await createLongRunningSite(4, 2);
	const {taskId, host} = await startLongRunningTask(site, 10);
	const idle = [...site.hosts.keys()].find(name => name !== host)!;
	site.killAgent(idle);
	site.hosts.get(idle)!.worker.isDown = true;
	site.hosts.get(idle)!.worker.crash();
	site.startAgent(idle);
	await site.clock.advance(20_000);
	if (isStopped) {
		await stopAgent(site, idle);
	}

	killOwner(site);
	site.hosts.get(host)!.worker.crash();
	expect(await waitForStarts(site, taskId, 2)).toBeLessThan(resumeMs);
});

/** Guards against the same with a late announcement, which names a worker that does not live any more. */
it('a task starts again in time after a takeover although a restarted agent knows a worker only by a late announcement', async () => {
	site = await createLongRunningSite(4, 2);
	const {taskId, host} = await startLongRunningTask(site, 10);
	const idle = site.hosts.get([...site.hosts.keys()].find(name => name !== host)!)!;
	const report = idle.worker.announce();
	site.killAgent(idle.name);
	idle.worker.isDown = true;
	idle.worker.crash();
	site.startAgent(idle.name);
	idle.agent!.handleAnnouncement(report);
	await site.clock.advance(20_000);
	killOwner(site);
	site.hosts.get(host)!.worker.crash();
	expect(await waitForStarts(site, taskId, 2)).toBeLessThan(resumeMs);
});

/** Guards against a restarted agent that takes its host for vacant while the leases of its predecessor last. */
it('a restarted agent is not vacant before the leases of its predecessor have expired', () => {
	const state = new AgentState('life', {startedAtMs: 1000, leaseMs: 7000, maxLeaseMs: 6000});
	expect(state.isVacant(1000 + (7000 / 0.98) + 500)).toBe(false);
	expect(state.isVacant(1000 + (7000 / 0.98) + 501)).toBe(true);
});
