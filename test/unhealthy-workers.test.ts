/**
Workers that refuse calls as unhealthy for longer than their leases last.
*/
import {afterEach, expect, it} from 'vitest';
import {type SiteWorker} from '../src/standin/site-worker.ts';
import {OrderFault} from '../src/standin/worker-options.ts';
import {createSite, jobId} from './site-setup.ts';
import {createSpec, createStep, type SimulatedSite} from './simulated-site.ts';

const workMs = 120_000;
const taskId = `${jobId}.0.0.0`;

let site: SimulatedSite;

afterEach(() => {
	site.stop();
	expect(site.violations).toEqual([]);
});

/** Starts a long task on a worker that then refuses all calls. */
const startRefusingWorker = async (): Promise<SiteWorker> => {
	site = await createSite(2, 1);
	site.plan = () => ({workMs});
	await site.submit(jobId, createSpec([createStep({estimateMs: workMs})]));
	await site.clock.advance(500);
	const {worker} = [...site.hosts.values()].find(host => host.worker.running.has(taskId))!;
	worker.getFault = () => OrderFault.Refuse;
	return worker;
};

/** Guards against tasks that wait for ever: leases named in refused renewals count as granted, so they never expire for the agent. */
it('tasks of a worker that refuses renewals start elsewhere once its leases have expired', async () => {
	const worker = await startRefusingWorker();
	await site.clock.advance(10_000);
	expect(worker.running.size).toBe(0);
	expect(site.getStarts(taskId)).toBe(2);
	worker.getFault = () => OrderFault.None;
	await site.clock.advance(10_000);
	expect(site.getStarts(taskId)).toBe(2);
	expect(site.isRunning(taskId)).toBe(true);
});

/** Guards against runs that end for a short trouble of their worker. */
it('tasks of a worker that refuses renewals for a time that their leases outlast run on', async () => {
	const worker = await startRefusingWorker();
	await site.clock.advance(3000);
	worker.getFault = () => OrderFault.None;
	await site.clock.advance(10_000);
	expect(worker.running.size).toBe(1);
	expect(site.getStarts(taskId)).toBe(1);
});
