/**
Records, answers and announcements of other writers in an unexpected form.
*/
import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
	agentsTopic, ControlRecordType, decodeControlRecord, decodeRegistration, encodeControlRecord,
} from '../src/agents/control-records.ts';
import {AgentState} from '../src/agents/agent-state.ts';
import {ErrorCode, getErrorCode} from '../src/core/errors.ts';
import {decodeWorkflowSpec} from '../src/platform/caller-server.ts';
import {decodeSiteConfig} from '../src/platform/site-config.ts';
import {decodeAnnouncement} from '../src/platform/worker-calls.ts';
import {AppendOutcome} from '../src/types/store.ts';
import {type WorkerReport} from '../src/types/fleet.ts';
import {RunEnd, WorkflowState} from '../src/types/workflows.ts';
import {WorkflowFollower} from '../src/workflows/follower.ts';
import {
	decodeRecord, encodeRecord, RecordType, workflowsTopic, type WorkflowRecord,
} from '../src/workflows/records.ts';
import {createWorkflow} from './site-fleet.ts';
import {
	createSpec, createStep, partition, SimulatedSite,
} from './simulated-site.ts';

const step = createStep({
	image: 'x', requiredLabel: 'a', dataRack: 'r1-1', maxAway: 1, after: [],
});
const workflow = createWorkflow('0123456789abcdef', createSpec([step, createStep({after: [0]})]));
const records: WorkflowRecord[] = [
	{
		type: RecordType.Claim, epoch: 3, owner: 'entry-1', knownFromOffset: 2,
	},
	{type: RecordType.Submit, workflow},
	{type: RecordType.Submit, workflow: {...workflow, waitedMs: 2500}, asOf: 17},
	{type: RecordType.Cancel, id: workflow.id},
	{type: RecordType.Refused, id: workflow.id},
	{
		type: RecordType.Forecast, forecast: {
			epoch: 3, service: 'desk', queues: [{
				queue: 'issue', measuredJobs: 60, lowestRatio: 0.5, medianRatio: 1, waits: [{fromCoreMs: 10, waitMs: 20}],
			}], fleet: [{
				milliCpu: 4000, memoryMb: 8000, accelerators: 0, workers: 2, labels: ['a'],
			}],
		},
	},
	{
		type: RecordType.Ends, ends: [{
			taskId: `${workflow.id}.0.0.0`, run: 1, end: RunEnd.Done, checkpoint: '',
		}],
	},
	{type: RecordType.Started, ids: [workflow.id]},
	{
		type: RecordType.Snapshot, job: {
			workflow, state: WorkflowState.Running, hasBegun: true, remaining: 1, writtenAtMs: 5, ledgers: [[`${workflow.id}.0.0.0`, {
				isDone: true, crashes: [], failedRuns: [1], lastRun: 2, checkpoint: 'c',
			}]],
		},
	},
	{
		type: RecordType.Interference, pairs: [{
			server: 'a', filler: 'b', mean: -0.1, deviation: 0.2,
		}],
	},
	{type: RecordType.AgentLost, host: 'host-0', session: 4},
];

const decoders: Record<string, (bytes: Buffer) => unknown> = {
	announcement: bytes => decodeAnnouncement('i-1', bytes),
	'job of a caller': decodeWorkflowSpec,
	configuration: bytes => decodeSiteConfig(bytes.toString('utf8')),
	'control record': decodeControlRecord,
	registration: decodeRegistration,
	'job record': decodeRecord,
};

const decode = (decoder: (bytes: Buffer) => unknown, bytes: Buffer): ErrorCode | undefined => {
	try {
		decoder(bytes);
		return undefined;
	} catch (error) {
		return getErrorCode(error) ?? ErrorCode.StartFailed;
	}
};

describe('decoders', () => {
	it.each(records)('decode an encoded record: $type', record => {
		expect(decodeRecord(encodeRecord(record))).toEqual(record);
	});

	it('decode an encoded control record', () => {
		const lost = {
			type: ControlRecordType.Lost as const, host: 'h', session: 4, epoch: 2,
		};
		expect(decodeControlRecord(encodeControlRecord(lost))).toEqual(lost);
	});

	/** A value of another writer either decodes to its type or is refused with `bad-input`, which every reader handles. */
	it.each(Object.entries(decoders))('refuse invalid values with `bad-input`: %s', (_, decoder) => {
		const known = [step, workflow, ...records, {
			host: 'h', address: 'a', service: 's', failureDomain: 'f',
		}, {version: 3, routes: [{name: 'q'}]}];
		const bytes = fc.oneof(
			fc.uint8Array({maxLength: 200}).map(array => Buffer.from(array)),
			fc.json().map(text => Buffer.from(text)),
			// A valid value with one field replaced or removed.
			fc.tuple(fc.constantFrom(...known), fc.nat(), fc.option(fc.jsonValue(), {nil: undefined})).map(([value, index, other]) => {
				const keys = Object.keys(value);
				return Buffer.from(JSON.stringify({...value, [keys[index % keys.length]!]: other}));
			}),
		);
		fc.assert(fc.property(bytes, value => {
			expect([undefined, ErrorCode.BadInput]).toContain(decode(decoder, value));
		}), {seed: 7, numRuns: 400});
	});
});

describe('readers of the store', () => {
	/** Undecodable records between those of jobs are reported and skipped; every job is read. */
	it('skip records that they cannot decode', async () => {
		const site = new SimulatedSite();
		const store = site.store.createClient('x');
		const invalid: number[] = [];
		const junk = fc.sample(fc.oneof(fc.uint8Array({minLength: 1, maxLength: 80}).map(array => Buffer.from(array)), fc.json().map(text => Buffer.from(text))), {seed: 11, numRuns: 60});
		const values = junk.flatMap((bytes, index) => [bytes, encodeRecord({type: RecordType.Submit, workflow: {...workflow, id: `job-${index}`}})]);
		const {outcome} = await site.settle(store.append({topic: workflowsTopic, partition}, values, {timeoutMs: 1000}));
		expect(outcome).toBe(AppendOutcome.Appended);
		const follower = new WorkflowFollower({
			store, clock: site.clock, ref: {topic: workflowsTopic, partition}, onStoreState: () => undefined, onInvalid: offset => invalid.push(offset),
		});
		expect(await site.settle(follower.catchUp(1000))).toBe(true);
		expect(follower.fold.workflows.size).toBe(junk.length);
		expect(invalid).toHaveLength(junk.length);
	});

	/**
	Registrations that cannot be decoded must not make the owner read all registrations again without end: it would never
	complete its reconciliation.
	*/
	it('find the other agents despite registrations that cannot be decoded', async () => {
		const site = new SimulatedSite();
		const store = site.store.createClient('x');
		await site.settle(store.appendKeyed({topic: agentsTopic, partition: 0}, [
			{key: 'stray', value: Buffer.from('{"host":7}')}, {key: 'bytes', value: Buffer.from([0xFF, 0])},
		], {timeoutMs: 1000}));
		site.addHost('x');
		site.startEntry('a');
		await site.clock.advance(4000);
		await site.submit('0123456789abcdef', createSpec([createStep()]));
		expect(await site.waitFor(() => site.getStarts('0123456789abcdef.0.0.0') > 0, 3000)).toBeDefined();
		expect(site.notes.filter(({event}) => event === 'registration not valid')).toHaveLength(2);
		expect(site.notes.some(({event}) => event === 'registrations not read')).toBe(false);
		site.stop();
	});
});

describe('a delayed announcement', () => {
	const report = (workerId: string, sequence: number): WorkerReport => ({
		workerId, service: 's', failureDomain: 'f', isDraining: false, milliCpu: 1000, memoryMb: 1000, accelerators: 0, labels: [], sequence,
	});

	/**
	A restarted agent receives an announcement of its worker, then one that a network partition had delayed, from an incarnation
	that crashed before. If that one became current, all runs of the live incarnation would be started elsewhere as well.
	*/
	it('does not make the live incarnation count as gone', () => {
		const state = new AgentState('life', {startedAtMs: 0, leaseMs: 7000, maxLeaseMs: 6000});
		expect(state.applyAnnouncement(report('i-2', 1), 0)).toBe(true);
		expect(state.applyAnnouncement(report('i-1', 90), 0)).toBe(false);
		expect(state.worker?.report.workerId).toBe('i-2');
		expect(state.goneWorkerIds).toEqual([]);
	});

	it('takes effect once the worker\'s answer shows that the previous incarnation is gone', () => {
		const state = new AgentState('life', {startedAtMs: 0, leaseMs: 7000, maxLeaseMs: 6000});
		state.applyAnnouncement(report('i-1', 5), 0);
		state.applyAnnouncement(report('i-2', 1), 0);
		state.removeWorker('i-1', 0);
		expect(state.worker?.report.workerId).toBe('i-2');
		expect(state.goneWorkerIds).toEqual(['i-1']);
	});
});
