/**
Registrations that another writer has left among those of agents and entries: they are ignored and logged once, and those beside them are followed.
*/
import {Buffer} from 'node:buffer';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {getFirstSession} from '../src/agents/control-records.ts';
import {RegistrationReader} from '../src/agents/registration-reader.ts';
import {registrationsRef} from '../src/agents/registration-writes.ts';
import {MemoryStore} from '../src/standin/memory-store.ts';
import {WorkflowState} from '../src/types/workflows.ts';
import {isPeerAddress} from '../src/utils/address.ts';
import {ManualClock} from '../src/utils/manual-clock.ts';
import {EntryDirectory} from '../src/workflows/entry-directory.ts';
import {createSite, jobId, otherId} from './site-setup.ts';
import {
	createSpec, createStep, service, type SimulatedSite,
} from './simulated-site.ts';

const far = Number.MAX_SAFE_INTEGER;
const stray = {
	host: 'stray', address: 'stray', service, failureDomain: 'hall',
};
const nested = '['.repeat(100_000) + ']'.repeat(100_000);
const outOfRangeState = {
	agentLife: 'x', session: far, version: far, agentClockMs: 1e300, workerClockMs: 1e300, leaseUntilMs: 1e300, isListed: false, isAnswering: false, isOver: false, goneWorkerIds: [], rows: {running: [[`${jobId}.0.0.0`, far, '', 0, 0]], ended: [], starting: []},
};

const invalid: Array<[string, string]> = [
	['nested values', nested],
	['a nested member', JSON.stringify({...stray, failureDomain: []}).replace('[]', nested)],
	['an address without a port', JSON.stringify({...stray, address: '127.0.0.1:'})],
	['a port out of range', JSON.stringify({...stray, address: '127.0.0.1:70000'})],
	['a port of 400 digits', JSON.stringify({...stray, address: `127.0.0.1:${'9'.repeat(400)}`})],
	['another host than its key', JSON.stringify({...stray, host: 'host-0', address: 'host-0'})],
	['a lease without an end', JSON.stringify({...stray, departure: {leaseMs: 1e300}})],
	['a lease of a year', JSON.stringify({...stray, departure: {leaseMs: 31_536_000_000}})],
	['a first session later than itself', JSON.stringify({...stray, firstSession: far})],
	['a first session without an end', JSON.stringify(stray).replace('}', ',"firstSession":1e400}')],
	['a state with numbers out of range', JSON.stringify({...stray, departure: {leaseMs: 0, state: outOfRangeState}})],
	['members of other types', JSON.stringify({...stray, address: 7, departure: {leaseMs: 'long'}})],
];

let site: SimulatedSite | undefined;

afterEach(() => {
	site?.stop();
	expect(site?.violations ?? []).toEqual([]);
	site = undefined;
});

const put = async (played: SimulatedSite, key: string, value: string): Promise<void> => {
	await played.settle(played.store.createClient('other').appendKeyed(registrationsRef, [{key, value: Buffer.from(value)}], {timeoutMs: 1000}));
};

describe('an invalid registration among those of the agents', () => {
	/** Guards against owners that wait for a host which does not exist: the tasks of earlier jobs would not start for as long as its lease lasts. */
	it.each(invalid)('keeps no task waiting, also after the loss of the owner: %s', async (_, value) => {
		const played = await createSite(3, 3);
		site = played;
		await played.submit(jobId, createSpec([createStep({count: 40, milliCpu: 2000})]));
		await put(played, 'stray', value);
		await played.clock.advance(1500);
		for (let takeover = 0; takeover < 2; takeover++) {
			played.killEntry(played.getOwnerName()!);
			const before = played.events.filter(({type}) => type === 'started').length;
			expect(await played.waitFor(() => played.events.filter(({type}) => type === 'started').length > before + 3, 5000)).toBeDefined();
		}

		await played.submit(otherId, createSpec([createStep()]));
		await played.clock.advance(12_000);
		expect([await played.getState(jobId), await played.getState(otherId)]).toEqual([WorkflowState.Completed, WorkflowState.Completed]);
		expect(played.notes.filter(({event, fields}) => event === 'agent lost' && fields.host === 'stray')).toEqual([]);
		for (const name of ['entry-0', 'entry-1', 'entry-2']) {
			expect(played.notes.filter(({source, event}) => source === name && event === 'registration not valid').length).toBeLessThanOrEqual(1);
		}
	});

	/** Guards against a record that makes an agent's leases look expired, or count from an offset that no record has yet. */
	it('has no first session that is later than its own', () => {
		const reader = new RegistrationReader({maxLeaseMs: 7000, isAddress: () => true, note: () => undefined});
		const values = ['3', '7', '8', String(far), '1e400', '-1', '"x"'].map(firstSession => Buffer.from(JSON.stringify(stray).replace('}', `,"firstSession":${firstSession}}`)));
		expect(values.map(value => reader.read('stray', value, 7)?.firstSession)).toEqual([3, 7, undefined, undefined, undefined, undefined, undefined]);
		expect(values.map(value => getFirstSession(value, 7))).toEqual([3, 7, 7, 7, 7, 7, 7]);
	});

	it('is logged once for each record, and not counted as a worker', () => {
		const logged: unknown[] = [];
		const reader = new RegistrationReader({maxLeaseMs: 7000, isAddress: isPeerAddress, note: (event, {host}) => logged.push([event, host])});
		const records = [
			{key: 'stray', offset: 4, value: Buffer.from(invalid[0]![1])},
			{key: 'host-0', offset: 5, value: Buffer.from(JSON.stringify({...stray, host: 'host-0', address: '127.0.0.1:7720'}))},
			{
				key: 'host-1', offset: 6, value: Buffer.from(JSON.stringify({
					...stray, host: 'host-1', address: '127.0.0.1:7720', departure: {leaseMs: 7100},
				})),
			},
		];
		expect([reader.count(records), reader.count(records)]).toEqual([2, 2]);
		reader.read('stray', Buffer.from('{}'), 9);
		expect(logged).toEqual([['registration not valid', 'stray'], ['registration not valid', 'stray']]);
	});
});

/** Guards against an entry that other entries send all of their work to, and a line of the log for each read of a record that stays. */
it('an invalid registration among those of the entries is ignored and logged once', async () => {
	const clock = new ManualClock();
	const store = new MemoryStore(clock);
	const ref = {topic: 'keyed.entries', partition: 0};
	const values: Record<string, string> = {
		nested, port: JSON.stringify({host: 'port', address: '127.0.0.1:70000'}), other: JSON.stringify({host: 'entry-1', address: '127.0.0.1:7720'}), large: JSON.stringify({host: 'large', address: '127.0.0.1:7720', processors: 1e300}),
	};
	for (const [key, value] of Object.entries(values)) {
		store.put(ref, key, Buffer.from(value));
	}

	store.put(ref, 'sound', Buffer.from(JSON.stringify({host: 'sound', address: '127.0.0.1:7720', processors: 2})));
	const logged: unknown[] = [];
	const aborter = new AbortController();
	const directory = new EntryDirectory({
		store: store.createClient('entry-0'), clock, life: 'a', isAddress: isPeerAddress, registration: {host: 'entry-0', address: '127.0.0.1:1'}, note: (event, {host}) => logged.push([event, host]),
	});
	void directory.run(aborter.signal);
	await clock.advance(35_000);
	expect(directory.others.map(({host}) => host)).toEqual(['sound']);
	expect(logged).toHaveLength(4);
	aborter.abort();
});
