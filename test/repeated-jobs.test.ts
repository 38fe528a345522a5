/**
Jobs of more tasks than an owner can hold at a time.
*/
import {Buffer} from 'node:buffer';
import {afterEach, expect, it} from 'vitest';
import {decodeWorkflowSpec} from '../src/platform/caller-server.ts';
import {WorkflowState} from '../src/types/workflows.ts';
import {createSite, jobId, otherId} from './site-setup.ts';
import {createWorkflow, load} from './site-fleet.ts';
import {createSpec, createStep, type SimulatedSite} from './simulated-site.ts';

const maxOpenTasks = 10_000;

let site: SimulatedSite | undefined;

afterEach(() => {
	site?.stop();
	expect(site?.violations ?? []).toEqual([]);
	site = undefined;
});

const countOpen = (workflow: {occurrences: Map<number, Array<{remaining: number}>>}): number => [...workflow.occurrences.values()].flat().filter(({remaining}) => remaining > 0).length;

/** Guards against entries that end one after the other, since each opens all occurrences of a job that are due at once. */
it('opens some of many occurrences that are due, and the others as these are completed', () => {
	const {model} = load([createWorkflow(jobId, createSpec([createStep()], {repeatCount: 1e9, firstDueMs: 1, intervalMs: 0}))]);
	const workflow = model.workflows.get(jobId)!;
	expect(model.openDueOccurrences(workflow, 1000, 0)).toBeGreaterThan(1000);
	expect(countOpen(workflow)).toBe(maxOpenTasks);
	for (const occurrence of [0, 1, 2]) {
		model.completeUnit(workflow.occurrences.get(occurrence)![0]!.tasks[0]!, 0);
	}

	model.openDueOccurrences(workflow, 1200, 0);
	expect(workflow.nextOccurrence).toBe(maxOpenTasks + 3);
	expect(countOpen(workflow)).toBe(maxOpenTasks);
});

it('opens an occurrence of any size, and further ones when they are due', () => {
	const {model} = load([createWorkflow(jobId, createSpec([createStep({count: 2 * maxOpenTasks})], {repeatCount: 3, firstDueMs: 1, intervalMs: 500}))]);
	const workflow = model.workflows.get(jobId)!;
	expect(model.openDueOccurrences(workflow, 100, 0)).toBe(501);
	expect(workflow.nextOccurrence).toBe(1);
});

it('leaves room for other jobs, also after a takeover', async () => {
	site = await createSite(2, 2);
	site.plan = () => ({workMs: 200});
	await site.submit(jobId, createSpec([createStep({milliCpu: 100})], {repeatCount: 1e9, firstDueMs: 1, intervalMs: 0}));
	await site.clock.advance(1000);
	site.killEntry(site.getOwnerName()!);
	await site.clock.advance(4000);
	await site.submit(otherId, createSpec([createStep()]));
	await site.clock.advance(2000);
	expect(await site.getState(otherId)).toBe(WorkflowState.Completed);
	expect(await site.getState(jobId)).toBe(WorkflowState.Running);
});

it('refuses a job of more than 100,000 tasks in all of its steps', () => {
	const decode = (count: number) => decodeWorkflowSpec(Buffer.from(JSON.stringify({spec: '', steps: [{count: 50_000}, {count}]})));
	expect(() => decode(50_001)).toThrow();
	expect(decode(50_000).steps).toHaveLength(2);
});
