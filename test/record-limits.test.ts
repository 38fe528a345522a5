/**
Stored numbers beyond which nothing can rise, and jobs that no process can hold: the records are refused, and jobs go on.
*/
import {Buffer} from 'node:buffer';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {controlTopic, decodeControlRecord} from '../src/agents/control-records.ts';
import {WorkflowState} from '../src/types/workflows.ts';
import {
	decodeRecord, encodeRecord, RecordType, workflowsTopic,
} from '../src/workflows/records.ts';
import {createWorkflow} from './site-fleet.ts';
import {
	createJobId, createSite, jobId, otherId,
} from './site-setup.ts';
import {
	createSpec, createStep, partition, type SimulatedSite,
} from './simulated-site.ts';

const far = Number.MAX_SAFE_INTEGER;

let site: SimulatedSite | undefined;

afterEach(() => {
	site?.stop();
	expect(site?.violations ?? []).toEqual([]);
	site = undefined;
});

describe('a number near the largest one', () => {
	/** Guards against agents that take no orders of any owner, and owners that take none of their own epochs for the newest. */
	it.each([controlTopic, workflowsTopic])('in a claim stops neither owners nor agents (%s)', async topic => {
		const played = await createSite(2, 2);
		site = played;
		await played.settle(played.store.createClient('other').append({topic, partition}, [Buffer.from(JSON.stringify({type: 'claim', epoch: far, owner: 'x'}))], {timeoutMs: 1000}));
		await played.clock.advance(1000);
		await played.submit(jobId, createSpec([createStep({count: 4})]));
		await played.clock.advance(4000);
		expect(await played.getState(jobId)).toBe(WorkflowState.Completed);
		played.killEntry(played.getOwnerName()!);
		await played.clock.advance(8000);
		await played.submit(otherId, createSpec([createStep()]));
		await played.clock.advance(3000);
		expect(await played.getState(otherId)).toBe(WorkflowState.Completed);
	});

	/** Guards against a task whose next run has no number, and against others whose ends wait behind the record that cannot be read. */
	it('as the number of a run keeps no job waiting', async () => {
		const played = await createSite(2, 2);
		site = played;
		await played.submit(jobId, createSpec([createStep({count: 12})]));
		const values = ['saved', 'ends', 'crashes'].map(type => JSON.stringify({
			type, runs: [{taskId: `${jobId}.0.0.11`, run: far, checkpoint: 'x'}], ends: [{
				taskId: `${jobId}.0.0.10`, run: far, end: 'failed', checkpoint: '',
			}], crashes: [{
				taskId: `${jobId}.0.0.9`, run: far, ageMs: 1, isNewest: true, host: 'host-0', isHostProven: false, atMs: 0,
			}],
		}));
		await played.settle(played.store.createClient('other').append({topic: workflowsTopic, partition}, values.map(value => Buffer.from(value)), {timeoutMs: 1000}));
		played.killEntry(played.getOwnerName()!);
		await played.clock.advance(16_000);
		expect(await played.getState(jobId)).toBe(WorkflowState.Completed);
		await played.submit(createJobId(9), createSpec([createStep()]));
		await played.clock.advance(3000);
		expect(await played.getState(createJobId(9))).toBe(WorkflowState.Completed);
	});

	it.each([
		{type: 'claim', epoch: far, owner: 'x'},
		{type: 'saved', runs: [{taskId: 't', run: far, checkpoint: ''}]},
		{
			type: 'ends', ends: [{
				taskId: 't', run: (2 ** 52) + 1, end: 'done', checkpoint: '',
			}],
		},
	])('is refused in a job record: $type', record => {
		expect(() => decodeRecord(Buffer.from(JSON.stringify(record)))).toThrow();
	});

	it('is refused in a control record', () => {
		expect(() => decodeControlRecord(Buffer.from(JSON.stringify({type: 'claim', epoch: far, owner: 'x'})))).toThrow();
		expect(decodeControlRecord(Buffer.from(JSON.stringify({type: 'claim', epoch: 2 ** 38, owner: 'x'})))).toMatchObject({epoch: 2 ** 38});
	});
});

/** Guards against entries that end one after the other, as each of them creates the tasks of a job that fits into no memory. */
it('a job of more tasks than callers may submit is skipped', () => {
	const getRecord = (count: number) => encodeRecord({type: RecordType.Submit, workflow: createWorkflow(jobId, createSpec([createStep({count})]))});
	expect(() => decodeRecord(getRecord(100_001))).toThrow();
	expect(decodeRecord(getRecord(100_000)).type).toBe(RecordType.Submit);
});
