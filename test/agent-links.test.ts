/**
Connections of an owner to its agents: states that arrive after their sender was replaced or given up.
*/
import {Buffer} from 'node:buffer';
import {afterEach, expect, it} from 'vitest';
import {RegistrationReader} from '../src/agents/registration-reader.ts';
import {agentsTopic, encodeRegistration} from '../src/agents/control-records.ts';
import {MemoryStore, StoreFault} from '../src/standin/memory-store.ts';
import {type WatchReply} from '../src/types/fleet.ts';
import {ManualClock} from '../src/utils/manual-clock.ts';
import {AgentLinks} from '../src/workflows/agent-links.ts';
import {createWorker} from './site-fleet.ts';

let aborter = new AbortController();

afterEach(() => {
	aborter.abort();
	aborter = new AbortController();
});

const registrations = {topic: agentsTopic, partition: 0};

const register = (store: MemoryStore, host: string): void => {
	store.put(registrations, host, Buffer.from(JSON.stringify({
		host, address: host, service: 'desk', failureDomain: 'hall',
	})));
};

const createState = (agentLife: string, version: number): WatchReply => ({
	agentLife, session: 0, version, agentClockMs: 0, worker: createWorker('host-0').report, workerClockMs: 0, leaseUntilMs: 0, isListed: true, isAnswering: true, isOver: false, running: [], ended: [], starting: [], crashed: [], goneWorkerIds: [],
});

/** Links to one agent; each poll is answered when the test calls `answer`. */
const createLinks = async () => {
	const clock = new ManualClock();
	const store = new MemoryStore(clock);
	register(store, 'host-0');
	const applied: WatchReply[] = [];
	const removed: string[] = [];
	const polls: Array<(reply: WatchReply) => void> = [];
	const links = new AgentLinks({
		store: store.createClient('entry-0'),
		registrations,
		reader: new RegistrationReader({maxLeaseMs: 7000, isAddress: () => true, note: () => undefined}),
		isOwned: () => true,
		client: {
			watch: async () => new Promise(resolve => {
				polls.push(resolve);
			}),
			order: async () => ({answers: [], version: 0}),
		},
		clock,
		epoch: 1,
		getStoredLoss: () => undefined,
		getCaughtUpAtMs: () => 0,
		onReply(_, reply) {
			applied.push(reply);
		},
		getStoredDeparture: () => undefined,
		onDeparture: () => undefined,
		onLastState: () => undefined,
		onRemoved({host}) {
			removed.push(host);
		},
		onSuperseded: () => undefined,
		note: () => undefined,
	});
	void links.run(aborter.signal);
	await clock.advance(100);
	const answer = async (reply: WatchReply) => {
		polls.shift()!(reply);
		await clock.advance(200);
	};

	return {
		links, applied, answer, removed, store, clock,
	};
};

/** Guards against a run that no agent knows any more but that its task waits for: it would stay on a worker that nobody watches. */
it('a state that arrives after its agent was given up changes nothing', async () => {
	const {links, applied, answer} = await createLinks();
	await answer(createState('life-1', 1));
	expect(applied).toHaveLength(1);
	links.fleets.remove(links.workers.get('host-0')!);
	await answer(createState('life-1', 2));
	expect(applied).toHaveLength(1);
});

/** Guards against runs that are lost because a process that was replaced does not list what its successor has started. */
it('a state of an agent process that another one has replaced changes nothing', async () => {
	const {links, applied, answer} = await createLinks();
	await answer(createState('life-1', 7));
	await answer(createState('life-2', 3));
	await answer(createState('life-1', 8));
	expect(applied.map(({agentLife}) => agentLife)).toEqual(['life-1', 'life-2']);
	expect(links.workers.get('host-0')).toMatchObject({agentLife: 'life-2', version: 3});
	await answer(createState('life-2', 4));
	expect(links.workers.get('host-0')).toMatchObject({agentLife: 'life-2', version: 4});
});

/** Guards against a removal that is not heard, also if the store was away when it came, or that is taken for one of a later registration. */
it.each([
	['while the stream is read', StoreFault.None],
	['while the store is away', StoreFault.Refuse],
])('an agent whose registration is removed %s is dropped, and one that has registered again stays', async (_, fault) => {
	const {links, removed, store, clock} = await createLinks();
	register(store, 'host-1');
	await clock.advance(500);
	expect([...links.workers.keys()]).toEqual(['host-0', 'host-1']);
	store.getFault = () => fault;
	await clock.advance(3000);
	store.put(registrations, 'host-0');
	store.put(registrations, 'host-1');
	register(store, 'host-1');
	links.workers.get('host-1')!.session = 4;
	store.getFault = () => StoreFault.None;
	await clock.advance(500);
	expect(removed).toEqual(['host-0']);
	expect([...links.workers.keys()]).toEqual(['host-1']);
	store.put(registrations, 'host-1');
	await clock.advance(500);
	expect(removed).toEqual(['host-0', 'host-1']);
});

/** Guards against leases of a departed agent that are counted anew whenever the registrations are read again, as after an outage of the store. */
it('a departure that is read again keeps its time', async () => {
	const {links, store, clock} = await createLinks();
	store.put(registrations, 'host-0', encodeRegistration({
		host: 'host-0', address: 'host-0', service: 'desk', failureDomain: 'hall', departure: {leaseMs: 5000},
	}));
	await clock.advance(500);
	const {leasesExpireAtMs} = links.workers.get('host-0')!.departure!;
	store.getFault = () => StoreFault.Refuse;
	await clock.advance(3000);
	store.getFault = () => StoreFault.None;
	await clock.advance(500);
	expect(links.workers.get('host-0')!.departure!.leasesExpireAtMs).toBe(leasesExpireAtMs);
});
