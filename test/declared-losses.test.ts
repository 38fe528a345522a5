/**
Declarations of loss that outlive the owner which stored them.
*/
import {Buffer} from 'node:buffer';
import {afterEach, expect, it} from 'vitest';
import {
	controlTopic, ControlRecordType, decodeControlRecord, type ControlRecord,
} from '../src/agents/control-records.ts';
import {getLeaseExpiryMs, leaseDurationMs} from '../src/agents/worker-lease.ts';
import {StoreFault} from '../src/standin/memory-store.ts';
import {AppendOutcome} from '../src/types/store.ts';
import {claimSequence, ControlWriter, ownerProducer} from '../src/workflows/control-writer.ts';
import {
	createLongRunningSite, getHostOf, killOwner, loseHost, replaceOwner,
} from './departures.ts';
import {createJobId} from './site-setup.ts';
import {type SimulatedSite} from './simulated-site.ts';

let site: SimulatedSite;

/** Time that a takeover and a start need. */
const slackMs = 300;

const taskId = `${createJobId(0)}.0.0.0`;

const hasOwner = () => site.getOwnerName() !== undefined;

/** Loses the host of the task and waits until its loss is stored; returns when that was. */
const loseTask = async (): Promise<number> => {
	loseHost(site, getHostOf(site, taskId));
	expect(await site.waitFor(() => site.notes.some(({event}) => event === 'loss stored'), 8000)).toBeDefined();
	return site.clock.monotonicMs();
};

afterEach(() => {
	site.stop();
	expect(site.violations).toEqual([]);
});

/** Guards against an owner that declares a host anew which the owner before it had declared lost, and waits for its leases from then on. */
it('a task of a lost host starts as soon as the loss that an earlier owner declared allows', async () => {
	site = await createLongRunningSite(4, 2);
	const storedAtMs = await loseTask();
	await site.clock.advance(1500);
	killOwner(site);
	expect(await site.waitFor(() => site.getStarts(taskId) === 2, 30_000)).toBeDefined();
	expect(site.clock.monotonicMs() - storedAtMs).toBeLessThan(getLeaseExpiryMs(leaseDurationMs) + slackMs);
});

/** Guards against owners that change faster than the leases of a lost host expire: none of them ever started its tasks. */
it('tasks of a lost host start although owners change faster than its leases expire', async () => {
	site = await createLongRunningSite(4, 3);
	const storedAtMs = await loseTask();
	for (let change = 0; change < 3; change++) {
		await site.clock.advance(1500);
		const dead = killOwner(site);
		await site.clock.advance(300);
		site.startEntry(dead);
		expect(await site.waitFor(hasOwner, 5000)).toBeDefined();
	}

	expect(await site.waitFor(() => site.getStarts(taskId) === 2, 30_000)).toBeDefined();
	expect(site.clock.monotonicMs() - storedAtMs).toBeLessThan(getLeaseExpiryMs(leaseDurationMs) + slackMs);
});

/** Guards against a loss of an earlier owner that ends the runs of an agent which has come back since. */
it('a loss that an earlier owner declared ends no run of an agent that has registered again', async () => {
	site = await createLongRunningSite(4, 2);
	const host = getHostOf(site, taskId);
	const owner = site.getOwnerName()!;
	site.cuts.add(`${owner}>${host}`);
	expect(await site.waitFor(() => site.notes.some(({event}) => event === 'loss stored'), 8000)).toBeDefined();
	expect(await site.waitFor(() => site.notes.filter(({source, event}) => source === host && event === 'registered').length === 2, 12_000)).toBeDefined();
	site.cuts.clear();
	const next = await replaceOwner(site);
	await site.clock.advance(15_000);
	expect(site.notes.filter(({source, event, fields}) => source === next && event === 'run lost' && fields.host === host)).toEqual([]);
	expect(site.getStarts(taskId)).toBe(2);
});

/** Guards against a new owner that proves leases of an agent which the owner before it has declared lost. */
it('a new owner gives no proof to an agent that an earlier one has declared lost', async () => {
	site = await createLongRunningSite(4, 2);
	const host = getHostOf(site, taskId);
	const owner = site.getOwnerName()!;
	site.cuts.add(`${owner}>${host}`);
	expect(await site.waitFor(() => site.notes.some(({event}) => event === 'agent lost'), 8000)).toBeDefined();
	site.store.getFault = ({client}) => client === host ? StoreFault.LoseRequest : StoreFault.None;
	expect(await site.waitFor(() => site.notes.some(({event}) => event === 'loss stored'), 2000)).toBeDefined();
	await replaceOwner(site);
	await site.clock.advance(20_000);
	expect(site.getStarts(taskId)).toBe(2);
});

/** Guards against a declaration of an owner that was paused and has been replaced: it ends the runs of an agent that works under the next one. */
it('an owner that was replaced while it was paused declares no agent lost', async () => {
	site = await createLongRunningSite(4, 2);
	const host = getHostOf(site, taskId);
	const owner = site.getOwnerName()!;
	const {clock} = site.entries.get(owner)!;
	site.cuts.add(`${owner}>${host}`);
	expect(await site.waitFor(() => site.notes.some(({event}) => event === 'agent silent'), 5000)).toBeDefined();
	clock.isPaused = true;
	site.cuts.clear();
	const notes = site.notes.length;
	expect(await site.waitFor(() => site.notes.slice(notes).some(({source, event}) => source !== owner && event === 'settled'), 10_000)).toBeDefined();
	await site.clock.advance(4000);
	clock.resume();
	await site.clock.advance(15_000);
	expect(site.notes.filter(({event}) => event === 'declared lost')).toEqual([]);
	expect(site.getStarts(taskId)).toBe(1);
});

/** Guards against a record that counts as stored since the store has answered for the one before it, whose answer was lost. */
it.each([StoreFault.LoseAnswer, StoreFault.LoseRequest, StoreFault.ExecuteLate])('a record that follows an append with %s is stored itself', async fault => {
	site = await createLongRunningSite(1, 1);
	const ref = {topic: controlTopic, partition: 3};
	const store = site.store.createClient('owner');
	const writer = new ControlWriter({store, partition: 3, epoch: 7});
	const createLoss = (host: string): ControlRecord => ({
		type: ControlRecordType.Lost, host, session: 1, epoch: 7,
	});
	await site.settle(store.append(ref, [Buffer.from('claim')], {stamp: {producer: ownerProducer, epoch: 7, sequence: claimSequence}, timeoutMs: 1000}));
	expect(await site.settle(writer.append(createLoss('a')))).toBe(AppendOutcome.Appended);
	site.store.getFault = () => fault;
	await expect(site.settle(writer.append(createLoss('b')).catch(() => AppendOutcome.Refused))).resolves.toBe(AppendOutcome.Refused);
	site.store.getFault = () => StoreFault.None;
	expect(await site.settle(writer.append(createLoss('c')))).toBe(AppendOutcome.Appended);
	await site.clock.advance(5000);
	const {records} = await site.settle(store.read(ref, 1, {waitMs: 0}));
	const hosts = records.map(({value}) => (decodeControlRecord(value) as {host: string}).host);
	expect(hosts.filter(name => name === 'c')).toHaveLength(1);
	await site.settle(store.append(ref, [], {stamp: {producer: ownerProducer, epoch: 8, sequence: claimSequence}, timeoutMs: 1000}));
	expect(await site.settle(writer.append(createLoss('d')))).toBe(AppendOutcome.Fenced);
});
