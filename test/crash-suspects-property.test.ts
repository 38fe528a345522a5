/**
Tasks that were young when workers crashed, during random series of crashes beside tasks that crash their workers: all start again in time.
*/
import process from 'node:process';
import fc from 'fast-check';
import {expect, it} from 'vitest';
import {WorkflowState, type WorkflowSpec} from '../src/types/workflows.ts';
import {
	culpritDownMs, getLastCrashMs, getLongestIdleMs, maxIdleMs, maxLastingIdleMs,
} from './idle-times.ts';
import {createJobId} from './site-setup.ts';
import {createSpec, createStep, SimulatedSite} from './simulated-site.ts';

/** A task fails at its third crash; a crash of its worker for another cause may add one. */
const maxStarts = 5;
const watchId = createJobId(0xA1);
const culprit = createJobId(0xC1);
const settleMs = 40_000;

const {CRASH_SERIES_SEED: seed = '61', CRASH_SERIES_RUNS: runs = '40'} = process.env;

const series = fc.record({
	hosts: fc.integer({min: 3, max: 14}),
	jobs: fc.array(fc.record({count: fc.integer({min: 1, max: 30}), milliCpu: fc.constantFrom(50, 240, 1800), isGang: fc.boolean()}), {minLength: 1, maxLength: 10}),
	crashes: fc.array(fc.record({afterMs: fc.integer({min: 20, max: 3000}), count: fc.integer({min: 1, max: 14}), downMs: fc.constantFrom(300, 1000, 3500)}), {minLength: 1, maxLength: 4}),
	culpritAfterMs: fc.option(fc.constantFrom(10, 200, 450)),
	isOwnerLost: fc.boolean(),
});

it('tasks of crashed workers start again in time, whatever crashes beside them', async () => {
	await fc.assert(fc.asyncProperty(series, async ({hosts, jobs, crashes, culpritAfterMs, isOwnerLost}) => {
		const site = new SimulatedSite();
		site.plan = ({taskId}) => taskId.startsWith(culprit) ? {workMs: undefined, crashAfterMs: culpritAfterMs!} : {workMs: taskId.startsWith(watchId) ? undefined : 900};
		for (let index = 0; index < hosts; index++) {
			site.addHost(`host-${index}`, 16_000);
		}

		for (const name of ['entry-0', 'entry-1', 'entry-2']) {
			site.startEntry(name);
		}

		await site.clock.advance(3000);
		const specs: Array<[id: string, spec: WorkflowSpec]> = [
			...jobs.map(({count, ...step}, index): [string, WorkflowSpec] => [createJobId(0x1_00 + index), createSpec([createStep({...step, count: step.isGang ? Math.min(4, count) : count})])]),
			[watchId, createSpec([createStep({count: 2, milliCpu: 3200, isLasting: true})])],
		];
		if (culpritAfterMs !== null) {
			specs.splice(1, 0, [culprit, createSpec([createStep({milliCpu: 240})])]);
		}

		const {jobs: api} = site.entries.get('entry-0')!;
		for (const [id, spec] of specs) {
			site.specs.set(id, spec);
			void api.submit(site.queue, id, spec, 2500);
		}

		for (const {afterMs, count, downMs} of crashes) {
			await site.clock.advance(afterMs);
			for (const {worker} of [...site.hosts.values()].slice(0, count)) {
				if (!worker.isDown) {
					worker.crash(downMs);
				}
			}
		}

		let tookOverMs = 0;
		if (isOwnerLost) {
			await site.clock.advance(1500);
			site.killEntry(site.getOwnerName()!);
			tookOverMs = await site.waitFor(() => site.getOwnerName() !== undefined, 10_000) ?? Number.POSITIVE_INFINITY;
		}

		await site.clock.advance(settleMs);
		const calmAtMs = getLastCrashMs(site) + Math.max(culpritDownMs, ...crashes.map(({downMs}) => downMs)) + tookOverMs;
		for (const [id] of specs) {
			const state = await site.getState(id, [...site.entries.keys()].at(-1));
			if (id === culprit) {
				expect(state).toBe(WorkflowState.Failed);
				expect(site.getStarts(`${culprit}.0.0.0`)).toBeLessThanOrEqual(maxStarts);
			} else {
				expect(state).toBe(id === watchId ? WorkflowState.Running : WorkflowState.Completed);
				expect(getLongestIdleMs(site, [id], calmAtMs)).toBeLessThan(id === watchId ? maxLastingIdleMs : maxIdleMs);
			}
		}

		site.stop();
		expect(site.violations).toEqual([]);
	}), {seed: Number(seed), numRuns: Number(runs), endOnFailure: true});
});
