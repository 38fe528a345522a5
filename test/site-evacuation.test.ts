/**
Failure domains that operators have requested to evacuate.
*/
import {Buffer} from 'node:buffer';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {decodeSiteConfig, getEvacuatedDomain} from '../src/platform/site-config.ts';
import {MemoryStore, StoreFault} from '../src/standin/memory-store.ts';
import {OrderRefusal, OrderType, type WorkerStart} from '../src/types/fleet.ts';
import {type Evacuations} from '../src/types/site.ts';
import {RunEnd, WorkflowState} from '../src/types/workflows.ts';
import {ManualClock} from '../src/utils/manual-clock.ts';
import {ConfigFollower} from '../src/workflows/config-follower.ts';
import {createJobId, jobId, otherId} from './site-setup.ts';
import {createSpec, createStep, SimulatedSite} from './simulated-site.ts';

/** An evacuation is in effect this long after it was acknowledged. */
const evacuateMs = 5000;

let site: SimulatedSite;

const createSite = async (domains: string[]): Promise<void> => {
	site = new SimulatedSite();
	for (const [index, domain] of domains.entries()) {
		site.addHost(`host-${index}`, 4000, ['a', 'r1-1'], domain);
	}

	site.startEntry('entry-0');
	site.startEntry('entry-1');
	await site.clock.advance(2000);
};

const setEvacuations = (asOf: number, ...failureDomains: string[]): void => {
	const evacuations: Evacuations = {asOf, failureDomains};
	site.getEvacuations = () => evacuations;
};

const getStartsOn = (host: string, sinceIndex = 0): number => {
	const {workerId} = site.hosts.get(host)!.worker;
	return site.events.slice(sinceIndex).filter(event => event.type === 'started' && event.workerId === workerId).length;
};

const submitMany = async (count: number, from = 1): Promise<string[]> => {
	const ids = Array.from({length: count}, (_, index) => createJobId(from + index));
	for (const id of ids) {
		await site.submit(id, createSpec([createStep({count: 2})]));
	}

	return ids;
};

const start: WorkerStart = {
	taskId: `${jobId}.0.0.0`, run: 1, input: '', checkpoint: '',
};

/** Sends an order to start a task with the latest epoch, as an owner without access to the store would. */
const orderStart = async (host: string) => {
	const {agent, worker, clock} = site.hosts.get(host)!;
	return site.settle(agent!.order({
		epoch: site.entries.get('entry-0')!.follower.fold.epoch,
		workerId: worker.workerId,
		agentLife: agent!.state.life,
		notAfterMs: clock.monotonicMs() + 1000,
		orders: [{type: OrderType.Start, start}],
	}));
};

const ref = {topic: 'keyed.op', partition: 0};
const follow = async () => {
	const clock = new ManualClock();
	const store = new MemoryStore(clock);
	const aborter = new AbortController();
	const follower = new ConfigFollower({
		store: store.createClient('entry'), clock, ref, key: 'config', getEvacuatedDomain, decode: decodeSiteConfig, onConfig: () => undefined, note: () => undefined,
	});
	void follower.run(aborter.signal);
	await clock.advance(100);
	const request = (domain: string) => {
		store.put(ref, `evacuate/${domain}`, Buffer.from('{}'));
	};

	const withdraw = async (domain: string) => {
		await store.createClient('operator').appendKeyed(ref, [{key: `evacuate/${domain}`}], {timeoutMs: 1000});
	};

	return {
		clock, store, follower, aborter, request, withdraw,
	};
};

describe('hosts of an evacuated failure domain', () => {
	afterEach(() => {
		site.stop();
		expect(site.violations).toEqual([]);
	});

	it('get no start, and their running tasks run to their end', async () => {
		await createSite(['hall-a', 'hall-b']);
		site.plan = () => ({workMs: 3000});
		await site.submit(jobId, createSpec([createStep({count: 8})]));
		await site.waitFor(() => getStartsOn('host-0') === 4 && getStartsOn('host-1') === 4, 2000);
		setEvacuations(5, 'hall-a');
		const since = site.events.length;
		const ids = await submitMany(4);
		await site.clock.advance(12_000);
		expect(getStartsOn('host-0', since)).toBe(0);
		expect(site.events.filter(event => event.type === 'ended' && event.end !== RunEnd.Done)).toEqual([]);
		for (const id of [jobId, ...ids]) {
			expect(await site.getState(id)).toBe(WorkflowState.Completed);
		}
	});

	it('get starts again once the request is withdrawn', async () => {
		await createSite(['hall-a']);
		setEvacuations(5, 'hall-a');
		await site.clock.advance(1000);
		await submitMany(2);
		await site.clock.advance(3000);
		expect(site.events).toEqual([]);
		setEvacuations(6);
		expect(await site.waitFor(() => getStartsOn('host-0') === 4, 1500)).toBeDefined();
	});

	it('get starts again when the request is withdrawn while their owner crashes', async () => {
		await createSite(['hall-a']);
		setEvacuations(5, 'hall-a');
		await site.clock.advance(1000);
		await submitMany(1);
		site.killEntry(site.getOwnerName()!);
		setEvacuations(6);
		expect(await site.waitFor(() => getStartsOn('host-0') === 2, 8000)).toBeDefined();
	});

	it('refuse the start of an owner that does not know of the request', async () => {
		await createSite(['hall-a', 'hall-b']);
		setEvacuations(5, 'hall-a');
		await site.clock.advance(1000);
		expect(await orderStart('host-0')).toMatchObject({answers: [{isDone: false, refusal: OrderRefusal.Evacuated}]});
	});

	it('stay evacuated for an agent that starts after the store has dropped the record of the request', async () => {
		await createSite(['hall-a', 'hall-b']);
		setEvacuations(5, 'hall-a');
		await site.clock.advance(45_000);
		site.store.trim({topic: 'control', partition: site.controlPartition}, 3);
		site.killAgent('host-0');
		site.startAgent('host-0');
		await site.clock.advance(8000);
		expect(await orderStart('host-0')).toMatchObject({answers: [{isDone: false, refusal: OrderRefusal.Evacuated}]});
	});

	it('do not count as evacuated when an older request arrives after its removal', async () => {
		await createSite(['hall-a']);
		setEvacuations(7);
		await site.clock.advance(500);
		setEvacuations(5, 'hall-a');
		await site.clock.advance(500);
		setEvacuations(7);
		await site.submit(otherId, createSpec([createStep()]));
		expect(await site.waitFor(() => getStartsOn('host-0') === 1, 1500)).toBeDefined();
	});

	it('may be all hosts at once: waiting tasks start when one request is withdrawn', async () => {
		await createSite(['hall-a', 'hall-b']);
		setEvacuations(5, 'hall-a', 'hall-b');
		await submitMany(2);
		await site.clock.advance(2000);
		expect(site.events).toEqual([]);
		setEvacuations(6, 'hall-a');
		expect(await site.waitFor(() => getStartsOn('host-1') === 4, 1500)).toBeDefined();
		expect(getStartsOn('host-0')).toBe(0);
	});
});

/** Guards against starts in an evacuated failure domain while the store is away from those that must know of the request, and against hosts that stay evacuated after it. */
describe.each([
	['agents', 3500, (client: string) => client.startsWith('host-0')],
	// An agent that reaches the store must know of the request in time, however long its owner does not.
	['the owner', 12_000, (client: string) => client === 'entry-0'],
	['the owner and agents', 3500, (client: string) => client === 'entry-0' || client.startsWith('host-0')],
	['all entries and agents', 3500, () => true],
])('hosts of a failure domain whose evacuation changes while the store does not answer %s', (_, outageMs, isCut) => {
	let isStoreAway = false;
	let evacuations: Evacuations = {asOf: 5, failureDomains: []};

	/** Changes the evacuations; an entry without the store learns of it once it reaches the store again. */
	const changeDuringOutage = async (changed: Evacuations): Promise<void> => {
		const before = evacuations;
		evacuations = changed;
		isStoreAway = true;
		site.getEvacuations = entry => isStoreAway && isCut(entry) ? before : evacuations;
		await site.clock.advance(outageMs);
		isStoreAway = false;
	};

	/** Keeps a backlog larger than the other domain can hold, so that any host that accepts starts gets some. */
	const createBusySite = async (): Promise<void> => {
		isStoreAway = false;
		site = new SimulatedSite();
		site.store.getFault = ({client}) => isStoreAway && isCut(client) ? StoreFault.LoseRequest : StoreFault.None;
		site.addHost('host-0', 4000, ['a', 'r1-1'], 'hall-a');
		site.addHost('host-1', 4000, ['a', 'r1-1'], 'hall-b');
		// Entries this small ask the group for the longest time until their partitions are assigned anew.
		site.startEntry('entry-0', 0.01);
		await site.clock.advance(1500);
		site.startEntry('entry-1', 0.01);
		await site.clock.advance(1500);
		site.plan = () => ({workMs: 400});
		for (const id of Array.from({length: 4}, (__, index) => createJobId(index + 1))) {
			await site.submit(id, createSpec([createStep({count: 100})]));
		}
	};

	afterEach(() => {
		site.stop();
		expect(site.violations).toEqual([]);
	});

	it('get no start later than the bound after the request', async () => {
		evacuations = {asOf: 5, failureDomains: []};
		await createBusySite();
		const requestedAtMs = site.clock.monotonicMs();
		await changeDuringOutage({asOf: 6, failureDomains: ['hall-a']});
		await site.clock.advance(8000);
		const {workerId} = site.hosts.get('host-0')!.worker;
		const late = site.events.filter(event => event.type === 'started' && event.workerId === workerId && event.atMs - requestedAtMs > evacuateMs);
		expect(late).toEqual([]);
		expect(getStartsOn('host-1')).toBeGreaterThan(0);
	});

	it('get starts again after the request was withdrawn', async () => {
		evacuations = {asOf: 6, failureDomains: ['hall-a']};
		await createBusySite();
		await changeDuringOutage({asOf: 7, failureDomains: []});
		expect(await site.waitFor(() => getStartsOn('host-0') > 0, 8000)).toBeDefined();
	});
});

describe('requests to evacuate', () => {
	it('and their removal are read from the operators\' stream', async () => {
		const {clock, follower, aborter, request, withdraw} = await follow();
		request('hall-a');
		request('hall-b');
		await clock.advance(50);
		expect(follower.evacuations.failureDomains).toEqual(['hall-a', 'hall-b']);
		void withdraw('hall-a');
		await clock.advance(50);
		expect(follower.evacuations.failureDomains).toEqual(['hall-b']);
		aborter.abort();
	});

	it('end even if the store drops the record of the removal before it was read', async () => {
		const {clock, store, follower, aborter, request, withdraw} = await follow();
		request('hall-a');
		await clock.advance(50);
		store.getDelayMs = ({client}) => client === 'entry' ? 500 : 0;
		await clock.advance(1100);
		void withdraw('hall-a');
		await clock.advance(20);
		store.trim(ref, 2);
		await clock.advance(3000);
		expect(follower.evacuations.failureDomains).toEqual([]);
		aborter.abort();
	});
});
