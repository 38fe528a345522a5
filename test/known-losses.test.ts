/**
Losses of agents that an earlier owner has declared and stored: from when the next owner counts them, and which it must not count.
*/
import {afterEach, expect, it} from 'vitest';
import {controlTopic} from '../src/agents/control-records.ts';
import {getLeaseExpiryMs, leaseDurationMs} from '../src/agents/worker-lease.ts';
import {MemoryStore, StoreFault} from '../src/standin/memory-store.ts';
import {ManualClock} from '../src/utils/manual-clock.ts';
import {WorkflowFold} from '../src/workflows/fold.ts';
import {WorkflowFollower} from '../src/workflows/follower.ts';
import {OwnerLog} from '../src/workflows/owner-log.ts';
import {
	decodeRecord, encodeRecord, RecordType, workflowsTopic, type WorkflowRecord,
} from '../src/workflows/records.ts';
import {
	createLongRunningSite, getHostOf, killOwner, loseHost, replaceOwner,
} from './departures.ts';
import {createJobId} from './site-setup.ts';
import {partition, type SimulatedSite} from './simulated-site.ts';

let site: SimulatedSite | undefined;

const taskId = `${createJobId(0)}.0.0.0`;
/** Storing and reading the record, periodic checks, and the start. */
const slackMs = 200;
/** An owner that lives on for this long after a loss was stored has passed it on. */
const recordMs = 100;

const getNotes = (event: string) => site!.notes.filter(note => note.event === event);
const waitForNote = async (event: string, boundMs: number): Promise<void> => {
	expect(await site!.waitFor(() => getNotes(event).length > 0, boundMs)).toBeDefined();
};

/** Loses the host of the task, and waits until its loss is stored; returns the host and when it was stored. */
const loseTask = async (): Promise<{host: string; storedAtMs: number}> => {
	const host = getHostOf(site!, taskId);
	loseHost(site!, host);
	await waitForNote('loss stored', 8000);
	return {host, storedAtMs: site!.clock.monotonicMs()};
};

const waitForStart = async (): Promise<void> => {
	expect(await site!.waitFor(() => site!.getStarts(taskId) === 2, 30_000)).toBeDefined();
};

/** Drops what an entry appends to a topic. */
const loseAppends = (entry: string, topic: string): void => {
	site!.store.getFault = ({client, kind, ref}) => client === entry && kind === 'append' && ref?.topic === topic ? StoreFault.LoseRequest : StoreFault.None;
};

const readLosses = async (): Promise<WorkflowRecord[]> => {
	const {records} = await site!.settle(site!.store.createClient('test').read({topic: workflowsTopic, partition}, 0, {waitMs: 0}));
	return records.map(({value}) => decodeRecord(value)).filter(({type}) => type === RecordType.AgentLost);
};

/**
Advances time while the entry's polls of the host fail now and then, and records are written: an owner gives a proof with a poll
if it has read the jobs stream to its end since the agent's last answer.
*/
const advanceWithProofs = async (entry: string, host: string, durationMs: number): Promise<void> => {
	const store = site!.store.createClient('test');
	const path = `${entry}>${host}`;
	for (let passedMs = 0; passedMs < durationMs; passedMs += 50) {
		void store.append({topic: workflowsTopic, partition}, [encodeRecord({type: RecordType.Started, ids: []})], {timeoutMs: 1000});
		if (passedMs % 1000 === 0) {
			site!.lostAnswers.add(path);
		} else if (passedMs % 1000 === 500) {
			site!.lostAnswers.delete(path);
		}

		await site!.clock.advance(50);
	}

	site!.lostAnswers.delete(path);
};

afterEach(() => {
	site?.stop();
	expect(site?.violations ?? []).toEqual([]);
	site = undefined;
});

/** Guards against a wait that each owner begins anew. */
it.each([1, 2, 3])('after %i changes of owner, a lost task starts as long after its loss was stored as without', async changes => {
	site = await createLongRunningSite(4, 4);
	const {host, storedAtMs} = await loseTask();
	for (let change = 0; change < changes; change++) {
		await site.clock.advance(recordMs);
		await replaceOwner(site);
	}

	await waitForStart();
	expect(site.clock.monotonicMs() - storedAtMs).toBeLessThan(getLeaseExpiryMs(leaseDurationMs) + slackMs);
	expect(site.clock.monotonicMs() - storedAtMs).toBeGreaterThan(getLeaseExpiryMs(leaseDurationMs));
	expect(getNotes('agent lost').filter(({fields}) => fields.host === host)).toHaveLength(1);
});

/** Guards against a next owner that counts a declaration which agents cannot read: they go on renewing leases. */
it('a declaration that is not in the control stream is not passed on', async () => {
	site = await createLongRunningSite(4, 2);
	const host = getHostOf(site, taskId);
	const first = site.getOwnerName()!;
	loseAppends(first, controlTopic);
	site.cuts.add(`${first}>${host}`);
	await waitForNote('loss not stored', 8000);
	expect(await readLosses()).toEqual([]);
	await replaceOwner(site);
	await site.clock.advance(15_000);
	expect(getNotes('loss known')).toEqual([]);
	expect(site.getStarts(taskId)).toBe(1);
});

/** Guards against an owner that relies on a record of the one before it which its own claim kept out of the stream. */
it('a loss whose record came after the next claim is declared anew', async () => {
	site = await createLongRunningSite(4, 2);
	const first = site.getOwnerName()!;
	loseAppends(first, workflowsTopic);
	await loseTask();
	const next = await replaceOwner(site);
	await waitForStart();
	expect(await readLosses()).toHaveLength(1);
	expect(getNotes('loss known')).toEqual([]);
	expect(getNotes('agent lost').map(({source}) => source)).toEqual([first, next]);
});

/** Guards against a new owner that keeps the leases of a lost agent alive, which has not read that it is lost, while others count on their end. */
it('an agent without the store that answers a new owner under its lost session gets no proof', async () => {
	site = await createLongRunningSite(4, 3);
	const host = getHostOf(site, taskId);
	const first = site.getOwnerName()!;
	site.cuts.add(`${first}>${host}`);
	await site.clock.advance(3000);
	site.store.getFault = ({client}) => client === host ? StoreFault.LoseRequest : StoreFault.None;
	await waitForNote('loss stored', 5000);
	await site.clock.advance(recordMs);
	const {lease} = site.hosts.get(host)!.agent!.state.worker!;
	const {leaseUntilMs} = lease;
	const next = await replaceOwner(site);
	await advanceWithProofs(next, host, 2500);
	expect(site.notes.some(({source, event, fields}) => source === next && event === 'agent answers' && fields.host === host)).toBe(true);
	await replaceOwner(site);
	await waitForStart();
	expect(getNotes('declared lost')).toEqual([]);
	expect(lease.leaseUntilMs).toBe(leaseUntilMs);
	expect(getHostOf(site, taskId)).not.toBe(host);
	site.store.getFault = () => StoreFault.None;
	await site.clock.advance(15_000);
	expect(site.notes.filter(({source, event}) => source === host && event === 'registered')).toHaveLength(2);
	expect(site.getStarts(taskId)).toBe(2);
});

/** Guards against a new owner that holds a loss against an agent which has registered again: it would get no proofs and no tasks. */
it('a loss does not count for an agent that has registered again before the next claim', async () => {
	site = await createLongRunningSite(4, 2);
	const host = getHostOf(site, taskId);
	site.cuts.add(`${site.getOwnerName()!}>${host}`);
	await waitForNote('loss stored', 8000);
	expect(await site.waitFor(() => site!.notes.filter(({source, event}) => source === host && event === 'registered').length === 2, 12_000)).toBeDefined();
	const next = await replaceOwner(site);
	const {lease} = site.hosts.get(host)!.agent!.state.worker!;
	site.store.getFault = ({client}) => client === host ? StoreFault.LoseRequest : StoreFault.None;
	await advanceWithProofs(next, host, 2000);
	const {leaseUntilMs} = lease;
	await advanceWithProofs(next, host, 5000);
	expect(lease.leaseUntilMs).toBeGreaterThan(leaseUntilMs + 3000);
	expect(getNotes('loss known')).toEqual([]);
});

/** Guards against a known loss that is counted for a restarted agent, which may have begun without reading it and renews leases from before. */
it('an agent that is restarted after the takeover, with leases from before, is declared lost anew', async () => {
	site = await createLongRunningSite(4, 2);
	const host = getHostOf(site, taskId);
	for (const entry of site.entries.keys()) {
		site.cuts.add(`${entry}>${host}`);
	}

	await waitForNote('loss stored', 8000);
	await site.clock.advance(recordMs);
	const next = await replaceOwner(site);
	await waitForNote('loss known', 1000);
	site.killAgent(host);
	site.startAgent(host);
	await site.clock.advance(500);
	const [lost, ...others] = getNotes('agent lost').filter(({source}) => source === next);
	expect(others).toEqual([]);
	expect(lost!.fields.session).toBeGreaterThan(getNotes('loss known')[0]!.fields.session as number);
	await waitForStart();
});

/** Guards against an entry that dates a loss before it can know of it: it has no clock in common with the owner that stored it. */
it('an entry that starts after the record counts from its own reading', async () => {
	site = await createLongRunningSite(4, 1);
	const {storedAtMs} = await loseTask();
	await site.clock.advance(2500);
	site.startEntry('entry-late');
	const startedAtMs = site.clock.monotonicMs();
	await site.clock.advance(300);
	killOwner(site);
	await waitForStart();
	expect(getNotes('loss known').map(({source}) => source)).toEqual(['entry-late']);
	expect(site.clock.monotonicMs() - startedAtMs).toBeGreaterThan(getLeaseExpiryMs(leaseDurationMs));
	expect(site.clock.monotonicMs() - storedAtMs).toBeLessThan(2500 + getLeaseExpiryMs(leaseDurationMs) + slackMs);
});

/** Guards against tasks that start elsewhere, and agents that are given up, while a later owner would not know of the loss and could give proofs. */
it('the tasks of a lost agent wait until the record of its loss is stored and read back', async () => {
	site = await createLongRunningSite(4, 1);
	const owner = site.getOwnerName()!;
	loseAppends(owner, workflowsTopic);
	const {host} = await loseTask();
	await site.clock.advance(getLeaseExpiryMs(leaseDurationMs) + slackMs);
	expect(getNotes('run lost')).toEqual([]);
	expect(getNotes('registration removed')).toEqual([]);
	site.store.getFault = () => StoreFault.None;
	await waitForNote('registration removed', 2000);
	expect(getNotes('run lost').some(({fields}) => fields.taskId === taskId)).toBe(true);
	expect(getNotes('loss known').filter(({fields}) => fields.host === host)).toEqual([]);
});

/** Guards against entries that count losses which the owner of this claim does not know, since it read the stream anew after it had written the claim. */
it('an owner for which records were dropped while it claimed writes from where it knows the stream', async () => {
	const clock = new ManualClock();
	const store = new MemoryStore(clock, 1).createClient('entry');
	const ref = {topic: workflowsTopic, partition: 0};
	void store.append(ref, [encodeRecord({type: RecordType.AgentLost, host: 'a', session: 3})], {timeoutMs: 1000});
	await clock.advance(10);
	const follower = new WorkflowFollower({
		store, clock, ref, onStoreState: () => undefined, onInvalid: () => undefined,
	});
	const log = new OwnerLog({
		store, clock, follower, partition: 0, host: 'entry', epoch: 2, maxCallBytes: 1_000_000, retentionMs: 60_000, onFenced: () => undefined, note: () => undefined,
	});
	const aborter = new AbortController();
	const claim = log.claim(aborter.signal);
	await clock.advance(10);
	follower.fold.restartAt(1);
	await clock.advance(1000);
	expect(await claim).toBe(3);
	const [{records}] = await Promise.all([store.read(ref, 1, {waitMs: 0}), clock.advance(10)]);
	expect(records.map(({value}) => decodeRecord(value))).toMatchObject([{knownFromOffset: 0}, {knownFromOffset: 1}]);
});

const apply = (fold: WorkflowFold, record: WorkflowRecord, readAtMs?: number): void => {
	fold.apply(decodeRecord(encodeRecord(record)), fold.offset, readAtMs);
};

const lose = (fold: WorkflowFold, host: string, session: number, readAtMs?: number): void => {
	apply(fold, {type: RecordType.AgentLost, host, session}, readAtMs);
};

it('a fold keeps the newest loss of each host with the time at which it was first read', () => {
	const fold = new WorkflowFold();
	lose(fold, 'a', 3, 100);
	lose(fold, 'a', 3, 200);
	lose(fold, 'a', 2, 300);
	lose(fold, 'b', 4);
	expect(fold.losses.get('a')).toEqual({session: 3, offset: 0, readAtMs: 100});
	expect(fold.losses.get('b')).toBeUndefined();
	lose(fold, 'a', 5, 400);
	expect(fold.losses.get('a')).toEqual({session: 5, offset: 4, readAtMs: 400});
});

/** Guards against a loss that is counted although an owner since did not know it, and gave the agent proofs. */
it('a fold forgets losses that a later owner has not read', () => {
	const fold = new WorkflowFold();
	lose(fold, 'a', 3, 100);
	lose(fold, 'b', 4, 100);
	apply(fold, {
		type: RecordType.Claim, epoch: 2, owner: 'x', knownFromOffset: 1,
	});
	expect(fold.losses.get('a')).toBeUndefined();
	expect(fold.losses.get('b')).toBeDefined();
	apply(fold, {type: RecordType.Claim, epoch: 3, owner: 'version before'});
	expect(fold.losses.get('b')).toBeUndefined();
});

/** Guards against a loss that an entry keeps over a gap, after which it cannot know who has owned the jobs since. */
it('a fold forgets losses that the store has dropped, and says from where it knows the stream', () => {
	const fold = new WorkflowFold();
	lose(fold, 'a', 3, 100);
	fold.restartAt(10);
	expect(fold.losses.get('a')).toBeUndefined();
	expect(fold.knownFromOffset).toBe(10);
});

it('a fold keeps a bounded number of losses', () => {
	const fold = new WorkflowFold();
	for (let index = 0; index <= 10_000; index++) {
		lose(fold, `host-${index}`, index, 100);
	}

	expect(fold.losses.get('host-0')).toBeUndefined();
	expect(fold.losses.get('host-1')).toBeDefined();
	expect(fold.losses.get('host-10000')).toBeDefined();
});
