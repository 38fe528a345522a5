/**
Numbers of a task's runs when owners change.
*/
import {
	afterEach, expect, it,
} from 'vitest';
import {RunEnd} from '../src/types/workflows.ts';
import {createSite, jobId} from './site-setup.ts';
import {createSpec, createStep, type SimulatedSite} from './simulated-site.ts';

let site: SimulatedSite | undefined;
const taskId = `${jobId}.0.0.0`;

afterEach(() => {
	site?.stop();
	expect(site?.violations ?? []).toEqual([]);
	site = undefined;
});

const getStartedRuns = (): number[] => site!.events.filter(event => event.type === 'started' && event.taskId === taskId).map(({run}) => run);

const replaceOwner = async (): Promise<void> => {
	const owner = site!.getOwnerName()!;
	site!.killEntry(owner);
	expect(await site!.waitFor(() => site!.notes.some(({source, event}) => source !== owner && event === 'settled'), 30_000)).toBeDefined();
};

/** Guards against an owner that counts from 1 again because the end of an expired run was not stored. */
it('a new owner gives a task a higher number than its runs had that ended without a result', async () => {
	site = await createSite(2, 2);
	site.plan = ({run}) => ({workMs: run === 1 ? 60_000 : 500});
	await site.submit(jobId, createSpec([createStep({milliCpu: 1000})]));
	await site.clock.advance(500);
	const {worker} = [...site.hosts.values()].find(host => host.worker.running.has(taskId))!;
	const other = [...site.hosts.values()].find(host => host.worker !== worker)!.worker;
	worker.setMilliCpu(500);
	other.setMilliCpu(500);
	worker.isUnresponsive = true;
	expect(await site.waitFor(() => site!.events.some(event => event.type === 'ended' && event.end === RunEnd.LeaseExpired), 12_000)).toBeDefined();
	worker.isUnresponsive = false;
	expect(await site.waitFor(() => site!.events.some(event => event.type === 'forgotten'), 5000)).toBeDefined();
	await replaceOwner();
	other.setMilliCpu(4000);
	expect(await site.waitFor(() => getStartedRuns().length > 1, 10_000)).toBeDefined();
	const [first, second] = getStartedRuns();
	expect(second).toBeGreaterThan(first!);
});

/** Guards against two failures that count as one because an owner has given the second run the number of the first. */
it('a task fails no more often than allowed when the first failure is read after a takeover', async () => {
	site = await createSite(2, 2);
	site.plan = () => ({workMs: 1000, isFailing: true});
	await site.submit(jobId, createSpec([createStep({milliCpu: 3000})]));
	await site.clock.advance(300);
	const first = [...site.hosts.values()].find(host => host.worker.running.has(taskId))!;
	site.killAgent(first.name);
	await site.clock.advance(1500);
	expect(first.worker.running.size).toBe(0);
	await replaceOwner();
	expect(await site.waitFor(() => getStartedRuns().length > 1, 20_000)).toBeDefined();
	await site.clock.advance(100);
	site.startAgent(first.name);
	await site.clock.advance(30_000);
	expect(getStartedRuns().length).toBeLessThanOrEqual(3);
});

/** Guards against an owner of the previous version that counts from 1 where its workers have seen numbers above the epoch's, and refuse all lower ones. */
it.each([false, true])('the stream holds the number of a run that has ended without a result, with a task that lasts: %s', async isLasting => {
	site = await createSite(1, 1);
	site.plan = () => ({workMs: 60_000});
	await site.submit(jobId, createSpec([createStep({isLasting})]));
	await site.clock.advance(500);
	const {worker} = site.hosts.get('host-0')!;
	worker.end(taskId, RunEnd.LeaseExpired);
	await site.clock.advance(500);
	const getStoredRun = () => site!.entries.get('entry-0')!.follower.fold.workflows.get(jobId)!.ledgers.get(taskId)?.lastRun;
	expect(getStartedRuns()).toEqual([1, 2]);
	expect(getStoredRun()).toBe(1);
	worker.end(taskId, RunEnd.LeaseExpired);
	await site.clock.advance(500);
	expect(getStoredRun()).toBe(2);
});

/** Guards against records that nobody needs: ends of runs that were stopped because their job was cancelled. */
it('the end of a run of a cancelled job is not stored', async () => {
	site = await createSite(1, 1);
	site.plan = () => ({workMs: 60_000});
	await site.submit(jobId, createSpec([createStep()]));
	await site.clock.advance(500);
	await site.cancel(jobId);
	expect(await site.waitFor(() => site!.events.some(event => event.type === 'forgotten'), 5000)).toBeDefined();
	expect(site.entries.get('entry-0')!.follower.fold.workflows.get(jobId)!.ledgers.get(taskId)?.lastRun ?? 0).toBe(0);
});
