/**
Claims of the homes of queues by several entries, on manual time, while the store fails.
*/
import {
	afterEach, beforeEach, expect, it,
} from 'vitest';
import {MemoryStore, StoreFault} from '../src/standin/memory-store.ts';
import {ManualClock} from '../src/utils/manual-clock.ts';
import {homesTopic, QueueHomes} from '../src/workflows/queue-homes.ts';
import {queue} from './simulated-site.ts';

const moved = {...queue, service: 'bureau'};

let clock: ManualClock;
let store: MemoryStore;
let aborter: AbortController;

beforeEach(() => {
	clock = new ManualClock();
	store = new MemoryStore(clock);
	aborter = new AbortController();
});

afterEach(() => {
	aborter.abort();
});

const createHomes = (client: string) => {
	const homes: string[] = [];
	const entry = new QueueHomes({
		store: store.createClient(client), clock, note: () => undefined, onHome(home) {
			homes.push(home);
		},
	});
	return {entry, homes};
};

const settle = async <Value>(promise: Promise<Value>): Promise<Value> => {
	const results: Value[] = [];
	void promise.then(value => {
		results.push(value);
	});
	for (let steps = 0; steps < 1000 && results.length === 0; steps++) {
		await clock.advance(5);
	}

	return results[0]!;
};

it.each([[0, 0], [0, 3], [3, 0], [30, 0], [0, 30]])('entries that claim at once with calls late by %i and %i ms agree on one home', async (...delaysMs) => {
	const [first, second] = [createHomes('entry-0').entry, createHomes('entry-1').entry];
	store.getDelayMs = ({client}) => delaysMs[Number(client.at(-1))]!;
	const [one, other] = await settle(Promise.all([first.claim(queue, 2000), second.claim(moved, 2000)]));
	expect(one).toBeDefined();
	expect(other).toBe(one);
	expect(createHomes('entry-2').entry.get(queue)).toBeUndefined();
	const reader = createHomes('entry-2').entry;
	expect(await settle(reader.refresh(1000))).toBe(true);
	expect(reader.get(moved)).toBe(one);
});

it('claims of one entry for several queues are all stored', async () => {
	const {entry, homes} = createHomes('entry-0');
	const queues = ['/a/', '/b/', `/${'c'.repeat(300)}/`].map(pathPrefix => ({...queue, pathPrefix}));
	const claimed = await settle(Promise.all([...queues, ...queues].map(async claimed => entry.claim(claimed, 2000))));
	expect(new Set(claimed)).toEqual(new Set([queue.service]));
	expect(homes).toHaveLength(3);
	const reader = createHomes('entry-1').entry;
	await settle(reader.refresh(1000));
	expect(queues.map(claimed => reader.get(claimed))).toEqual(Array.from({length: 3}, () => queue.service));
});

it('a claim whose answer is lost, or that is stored late, decides the home all the same', async () => {
	for (const fault of [StoreFault.LoseAnswer, StoreFault.ExecuteLate]) {
		const used = {...queue, pathPrefix: `/${fault}/`};
		const {entry} = createHomes('entry-0');
		let faults = 0;
		store.getFault = ({kind}) => kind === 'append' && faults++ < 1 ? fault : StoreFault.None;
		const home = await settle(entry.claim(used, 4000));
		await clock.advance(4000);
		const reader = createHomes('entry-1').entry;
		await settle(reader.refresh(1000));
		expect(home).toBe(queue.service);
		expect(reader.get(used)).toBe(queue.service);
	}
});

it('a claim that the store refuses is given up soon', async () => {
	store.getFault = ({kind}) => kind === 'append' ? StoreFault.Refuse : StoreFault.None;
	const startedAtMs = clock.monotonicMs();
	expect(await settle(createHomes('entry-0').entry.claim(queue, 2500))).toBeUndefined();
	expect(clock.monotonicMs() - startedAtMs).toBeLessThan(800);
});

it('entries that follow the homes learn of them, also after the store has dropped records', async () => {
	const {entry, homes} = createHomes('entry-0');
	void entry.run(aborter.signal);
	await clock.advance(100);
	await settle(createHomes('entry-1').entry.claim(moved, 1000));
	await clock.advance(100);
	expect(homes).toEqual(['bureau']);
	store.getFault = ({client}) => client === 'entry-0' ? StoreFault.LoseRequest : StoreFault.None;
	await clock.advance(8000);
	await settle(createHomes('entry-1').entry.claim({...queue, pathPrefix: '/other/'}, 1000));
	store.trim({topic: homesTopic, partition: 0}, 2);
	store.getFault = () => StoreFault.None;
	await clock.advance(8000);
	expect(homes).toEqual(['bureau', queue.service]);
});

it('entries claim the homes of declared queues before any job comes, and agree on them', async () => {
	const entries = [0, 1, 2].map(index => createHomes(`entry-${index}`).entry);
	const queues = ['/a/', '/b/', '/c/'].map(pathPrefix => ({...queue, pathPrefix}));
	await settle(Promise.all(entries.map(async (entry, index) => entry.prepare(index === 0 ? queues : queues.map(({pathPrefix}) => ({...moved, pathPrefix}))))));
	const {append} = store.calls;
	const claimed = await settle(Promise.all(entries.map(async entry => Promise.all(queues.map(async used => entry.claim(used, 1000))))));
	expect(store.calls.append).toBe(append);
	expect(new Set(claimed.map(homes => homes.join(' '))).size).toBe(1);
});

/** Guards against records that are kept for ever, of the thousands of routes of a large configuration. */
it('no homes are claimed for many new queues at once', async () => {
	await settle(createHomes('entry-0').entry.prepare(Array.from({length: 51}, (_, index) => ({...queue, pathPrefix: `/${index}/`}))));
	expect(store.calls.append).toBe(0);
});
