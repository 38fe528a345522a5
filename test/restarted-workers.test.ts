/**
Workers that restart under the id that they had.
*/
import fc from 'fast-check';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {RunEnd, WorkflowState} from '../src/types/workflows.ts';
import {jobId, createSite, otherId} from './site-setup.ts';
import {createSpec, createStep, type SimulatedSite} from './simulated-site.ts';

let site: SimulatedSite;

afterEach(() => {
	site.stop();
	expect(site.violations).toEqual([]);
});

const submit = async (count: number, workMs: number, id = jobId): Promise<void> => {
	site.plan = () => ({workMs});
	await site.submit(id, createSpec([createStep({count})]));
};

const countDone = (): number => site.events.filter(event => event.type === 'ended' && event.end === RunEnd.Done).length;
const isCompleted = async (id = jobId): Promise<boolean> => await site.getState(id) === WorkflowState.Completed;
const getStartsSince = (host: string, index: number): number => {
	const {worker} = site.hosts.get(host)!;
	return site.events.slice(index).filter(event => event.type === 'started' && event.workerId === worker.workerId).length;
};

/** Runs that were taken for lost although the worker had listed that they succeeded. */
const getLostSuccesses = () => site.notes.filter(({event, fields}) => event === 'run lost' && site.events.some(other =>
	other.type === 'ended' && other.end === RunEnd.Done && other.taskId === fields.taskId && other.run === fields.run && other.workerId === fields.workerId));

describe('a worker that restarts under its id', () => {
	/** Guards against ends of the new incarnation that are dropped as known, because their numbers start anew: their tasks were done twice. */
	it.each([0, 200, 2500])('after %i ms has all its ends stored', async downtimeMs => {
		site = await createSite(2, 1);
		await submit(60, 800);
		await site.clock.advance(2000);
		site.hosts.get('host-0')!.worker.crashAndKeepId(downtimeMs);
		expect(await site.waitFor(() => countDone() >= 60, 30_000)).toBeDefined();
		await site.clock.advance(1000);
		expect(await isCompleted()).toBe(true);
		expect(getLostSuccesses()).toEqual([]);
	});

	/** Guards against a host that stands idle for good, because its worker's id is taken for one that has ended. */
	it('gets starts again, time after time, with the capacity that it announces', async () => {
		site = await createSite(1, 1);
		const {worker} = site.hosts.get('host-0')!;
		for (const milliCpu of [2000, 3000, 1000]) {
			await submit(4, 300);
			await site.clock.advance(100);
			worker.setMilliCpu(milliCpu);
			worker.crashAndKeepId(300);
			const index = site.events.length;
			expect(await site.waitFor(() => getStartsSince('host-0', index) > 0, 4000)).toBeDefined();
		}

		await site.clock.advance(10_000);
		expect(await isCompleted()).toBe(true);
	});

	/** Guards against a start that is executed by the new incarnation and again elsewhere, because it was sent to the one before. */
	it('runs each task once whose start arrives after the restart', async () => {
		site = await createSite(2, 1);
		const {worker} = site.hosts.get('host-0')!;
		let isLate = true;
		worker.getTransitMs = order => order === 'start' && isLate ? 150 : 0;
		void site.submit(jobId, createSpec([createStep({count: 4, milliCpu: 2000})]));
		site.plan = () => ({workMs: 3000});
		await site.clock.advance(100);
		worker.crashAndKeepId(0);
		isLate = false;
		expect(await site.waitFor(() => countDone() === 4, 20_000)).toBeDefined();
		await site.clock.advance(1000);
		expect(await isCompleted()).toBe(true);
	});

	/** Guards against the same when the start arrives after the new incarnation has listed its runs. */
	it('executes no start for its predecessor once it has listed its runs', async () => {
		site = await createSite(2, 1);
		const {worker} = site.hosts.get('host-0')!;
		let transitMs = 2500;
		worker.getTransitMs = order => order === 'start' ? transitMs : 0;
		await submit(4, 3000);
		worker.crashAndKeepId(0);
		transitMs = 0;
		const index = site.events.length;
		expect(await site.waitFor(() => countDone() === 4, 20_000)).toBeDefined();
		expect(site.events.slice(index).filter(({type}) => type === 'started').length).toBe(4);
	});

	/** Guards against the same when the start arrives between two of its first listings. */
	it('runs each task once whenever the start arrives around its first listings', async () => {
		for (let transitMs = 100; transitMs <= 1400; transitMs += 40) {
			site = await createSite(2, 1);
			const {worker, agent} = site.hosts.get('host-0')!;
			let currentMs = transitMs;
			worker.getTransitMs = order => order === 'start' ? currentMs : 100;
			await submit(4, 3000);
			worker.crashAndKeepId(0);
			agent!.handleAnnouncement(worker.announce());
			currentMs = 0;
			expect(await site.waitFor(() => countDone() === 4, 20_000)).toBeDefined();
			expect(site.violations).toEqual([]);
			site.stop();
		}
	});

	/** Guards against ends that the new incarnation drops unread, because it is told to drop those of its predecessor up to a higher number. */
	it('keeps its first ends until they were read', async () => {
		site = await createSite(1, 1);
		const {worker} = site.hosts.get('host-0')!;
		await submit(20, 100);
		await site.waitFor(() => countDone() === 20, 10_000);
		await site.clock.advance(2000);
		site.plan = () => ({workMs: 50});
		let transitMs = 100;
		worker.getTransitMs = order => order === 'start' ? transitMs : 0;
		void site.submit(otherId, createSpec([createStep({count: 4})]));
		await site.clock.advance(60);
		worker.crashAndKeepId(0);
		transitMs = 0;
		expect(await site.waitFor(() => countDone() >= 24, 10_000)).toBeDefined();
		await site.clock.advance(3000);
		expect(await isCompleted(otherId)).toBe(true);
		expect(countDone()).toBe(24);
	});

	/** Guards against a new incarnation that counts as one that ends, because the message of the one before came late. */
	it('is not ended by the late message of its predecessor that it ends', async () => {
		site = await createSite(1, 1);
		const {worker, agent} = site.hosts.get('host-0')!;
		worker.crashAndKeepId(200);
		await site.clock.advance(3000);
		agent!.handleWorkerLeave(worker.workerId);
		await site.clock.advance(1000);
		await submit(2, 500, otherId);
		expect(await site.waitFor(() => countDone() === 2, 8000)).toBeDefined();
	});

	/** Guards against leases of the new incarnation that count as expired with those of its predecessor, whose agent was declared lost. */
	it('runs each task once if its agent is declared lost around the restart', async () => {
		for (let atMs = 3000; atMs <= 12_000; atMs += 1000) {
			site = await createSite(2, 1);
			await submit(12, 2000);
			await site.clock.advance(500);
			site.cuts.add('entry-0>host-0');
			const {worker} = site.hosts.get('host-0')!;
			await site.clock.advance(atMs);
			worker.getTransitMs = order => order === 'start' ? 300 : 0;
			worker.crashAndKeepId(100);
			site.cuts.clear();
			expect(await site.waitFor(() => countDone() >= 12, 60_000)).toBeDefined();
			expect(site.violations).toEqual([]);
			site.stop();
		}
	});

	/** Guards against all of these at other moments, with several hosts, agents that restart, and calls that take long. */
	it('violates no invariant whenever it does so', async () => {
		const restart = fc.record({
			atMs: fc.integer({min: 0, max: 6000}), host: fc.integer({min: 0, max: 2}), downtimeMs: fc.constantFrom(0, 50, 200, 1000, 2500), withAgent: fc.boolean(), transitMs: fc.constantFrom(0, 0, 100, 500),
		});
		const schedule = ({atMs, host, downtimeMs, withAgent, transitMs}: typeof restart extends fc.Arbitrary<infer Restart> ? Restart : never) => {
			site.clock.setTimer(() => {
				const name = `host-${host}`;
				const {worker} = site.hosts.get(name)!;
				worker.getTransitMs = order => order === 'renew' ? 0 : transitMs;
				site.clock.setTimer(() => {
					worker.crashAndKeepId(downtimeMs);
					worker.getTransitMs = () => 0;
					if (withAgent) {
						site.killAgent(name);
						site.startAgent(name);
					}
				}, 200);
			}, atMs);
		};

		await fc.assert(fc.asyncProperty(fc.array(restart, {minLength: 1, maxLength: 5}), fc.constantFrom(200, 800, 2500), async (restarts, workMs) => {
			site = await createSite(3, 2);
			await submit(50, workMs);
			for (const each of restarts) {
				schedule(each);
			}

			await site.clock.advance(7000);
			expect(await site.waitFor(() => site.getOwnerName() !== undefined && site.notes.some(({event}) => event === 'job over'), 60_000)).toBeDefined();
			expect(site.violations).toEqual([]);
			site.stop();
		}), {seed: 48, numRuns: 40});
	});
});
