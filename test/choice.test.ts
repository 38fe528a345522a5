import {expect, test} from 'vitest';
import fc from 'fast-check';
import {createChooser, type ChooserOptions} from '../src/requests/choice.ts';
import {UpstreamStates} from '../src/requests/choice-states.ts';
import {parseFailureDomainWeights} from '../src/requests/choice-weights.ts';
import {HostState, type UpstreamAnnouncement} from '../src/types/announcements.ts';
import {type Chooser} from '../src/types/choice.ts';
import {RequestClass} from '../src/types/requests.ts';
import {ManualClock} from '../src/utils/manual-clock.ts';
import {createRandom} from '../src/utils/seeded-random.ts';

const service = 'lading-desk';
const createUpstream = (index: number, overrides: Partial<UpstreamAnnouncement> = {}): UpstreamAnnouncement => ({
	upstreamId: `desk-${index}`,
	service,
	incarnation: 1,
	sequence: 1,
	state: HostState.Alive,
	address: `127.0.0.1:${9000 + index}`,
	region: 'scot-central',
	failureDomain: ['leith-hall', 'govan-hall', 'grange-hall'][index % 3]!,
	slots: 8,
	connections: 64,
	isGuarded: false,
	...overrides,
});
const createUpstreams = (count: number) => Array.from({length: count}, (_, index) => createUpstream(index));

const createFixture = (options: Partial<ChooserOptions> = {}) => {
	const clock = new ManualClock();
	const chooser = createChooser({
		clock, random: createRandom(7), failureDomain: 'leith-hall', ...options,
	});
	return {clock, chooser};
};

const context = {requestClass: RequestClass.Check, excluded: new Set<string>(), hasSlot: () => true};

/** Sends one request and waits for its end; `getLatencyMs` gives the latency of an upstream, undefined means an immediate failure. */
const send = (chooser: Chooser, clock: ManualClock, upstreams: UpstreamAnnouncement[], getLatencyMs: (id: string) => number | undefined): string | undefined => {
	const chosen = chooser.choose(service, upstreams, context);
	if (!chosen) {
		return undefined;
	}

	const {upstreamId} = chosen;
	const latencyMs = getLatencyMs(upstreamId);
	chooser.recordStart(upstreamId, RequestClass.Check);
	clock.advanceSync(latencyMs ?? 1);
	chooser.recordEnd(upstreamId, {requestClass: RequestClass.Check, latencyMs: latencyMs ?? 1, isSuccess: latencyMs !== undefined});
	return upstreamId;
};

/** Records enough failures of an upstream to eject it. */
const eject = (chooser: Chooser, upstreams: UpstreamAnnouncement[], upstreamId: string) => {
	chooser.choose(service, upstreams, context);
	for (let index = 0; index < 5; index++) {
		chooser.recordStart(upstreamId, RequestClass.Check);
		chooser.recordEnd(upstreamId, {requestClass: RequestClass.Check, latencyMs: 1, isSuccess: false});
	}
};

const count = (times: number, action: () => string | undefined) => {
	const counts = new Map<string | undefined, number>();
	for (let index = 0; index < times; index++) {
		const id = action();
		counts.set(id, (counts.get(id) ?? 0) + 1);
	}

	return counts;
};

test('never chooses an excluded upstream or one without a free slot', () => {
	fc.assert(fc.property(fc.integer({min: 1, max: 12}), fc.array(fc.integer({min: 0, max: 11})), fc.array(fc.integer({min: 0, max: 11})), fc.integer(), (size, excludedIndexes, busyIndexes, seed) => {
		const {chooser} = createFixture({random: createRandom(Math.abs(seed))});
		const upstreams = createUpstreams(size);
		const excluded = new Set(excludedIndexes.map(index => `desk-${index}`));
		const busy = new Set(busyIndexes.map(index => `desk-${index}`));
		const chosen = chooser.choose(service, upstreams, {requestClass: RequestClass.Check, excluded, hasSlot: id => !busy.has(id)});
		const isAnyFree = upstreams.some(({upstreamId}) => !excluded.has(upstreamId) && !busy.has(upstreamId));
		expect(chosen !== undefined).toBe(isAnyFree);
		expect(chosen && (excluded.has(chosen.upstreamId) || busy.has(chosen.upstreamId))).toBeFalsy();
	}));
});

test('chooses within its failure domain at low load and spills over when that domain is loaded', () => {
	const {clock, chooser} = createFixture();
	const upstreams = createUpstreams(9);
	const isNear = (id: string | undefined) => upstreams.find(({upstreamId}) => upstreamId === id)?.failureDomain === 'leith-hall';
	for (let index = 0; index < 100; index++) {
		expect(isNear(send(chooser, clock, upstreams, () => 10))).toBe(true);
	}

	for (const {upstreamId} of upstreams.filter(({failureDomain}) => failureDomain === 'leith-hall')) {
		for (let held = 0; held < 6; held++) {
			chooser.recordStart(upstreamId, RequestClass.Check);
		}
	}

	expect(isNear(chooser.choose(service, upstreams, context)?.upstreamId)).toBe(false);
});

test('a slow host gets almost no checks', () => {
	// One of eleven hosts takes ten times as long as the others. Without avoidance, one caller in eleven is affected.
	const {clock, chooser} = createFixture();
	const upstreams = createUpstreams(11).map(upstream => ({...upstream, failureDomain: 'leith-hall'}));
	const counts = count(3000, () => send(chooser, clock, upstreams, id => id === 'desk-3' ? 100 : 10));
	expect(counts.get('desk-3') ?? 0).toBeLessThan(60);
	expect(counts.get(undefined)).toBeUndefined();
});

test('checks do not wait for the few healthy hosts while most are slow', () => {
	// Batch work slows most hosts. If checks waited for the healthy ones, which cannot carry the load, they would miss their
	// deadlines although the slow hosts have free slots.
	const {clock, chooser} = createFixture();
	const upstreams = createUpstreams(10).map(upstream => ({...upstream, failureDomain: 'leith-hall'}));
	count(100, () => send(chooser, clock, upstreams, () => 10));
	const slowIds = new Set(['desk-0', 'desk-1', 'desk-2', 'desk-3', 'desk-4', 'desk-5']);
	for (const upstreamId of slowIds) {
		for (let index = 0; index < 20; index++) {
			chooser.recordStart(upstreamId, RequestClass.Check);
			chooser.recordEnd(upstreamId, {requestClass: RequestClass.Check, latencyMs: 400, isSuccess: true});
		}
	}

	for (let index = 0; index < 1000; index++) {
		chooser.recordStart('desk-9', RequestClass.Check);
		chooser.recordEnd('desk-9', {requestClass: RequestClass.Check, latencyMs: 10, isSuccess: true});
	}

	chooser.recordStart('desk-9', RequestClass.Check);
	const isSlow = (upstreamId: string) => slowIds.has(upstreamId);
	expect(chooser.choose(service, upstreams, {...context, hasSlot: isSlow})).toBeDefined();
	const fewer = upstreams.map(upstream => isSlow(upstream.upstreamId) && upstream.upstreamId !== 'desk-0' ? {...upstream, incarnation: 2} : upstream);
	expect(chooser.choose(service, fewer, {...context, hasSlot: id => id === 'desk-0'})).toBeUndefined();
});

test('a host that was slow gets its share of the load back without new samples', () => {
	// A host that was slow for a while gets no more requests, so no sample shows that it has become fast again.
	const {clock, chooser} = createFixture();
	const upstreams = createUpstreams(4).map(upstream => ({...upstream, failureDomain: 'leith-hall'}));
	count(400, () => send(chooser, clock, upstreams, id => id === 'desk-1' ? 100 : 10));
	clock.advanceSync(60_000);
	const counts = count(2000, () => send(chooser, clock, upstreams, () => 10));
	expect(counts.get('desk-1') ?? 0).toBeGreaterThan(300);
});

test('an upstream that fails every request immediately does not attract the traffic', () => {
	// An upstream that refuses every request within a millisecond has the fewest requests in flight and the best latency,
	// so a policy that considers only load would send it nearly all requests.
	const {clock, chooser} = createFixture();
	const upstreams = createUpstreams(11).map(upstream => ({...upstream, failureDomain: 'leith-hall'}));
	const counts = count(5000, () => send(chooser, clock, upstreams, id => id === 'desk-5' ? undefined : 10));
	expect(counts.get('desk-5') ?? 0).toBeLessThan(50);
});

test('an ejected upstream is admitted again by probes and slow start', () => {
	const {clock, chooser} = createFixture();
	const upstreams = createUpstreams(4).map(upstream => ({...upstream, failureDomain: 'leith-hall'}));
	eject(chooser, upstreams, 'desk-2');
	const ejectedCounts = count(50, () => send(chooser, clock, upstreams, () => 10));
	expect(ejectedCounts.get('desk-2')).toBeUndefined();
	clock.advanceSync(40_000);
	const early = count(40, () => send(chooser, clock, upstreams, () => 10));
	expect(early.get('desk-2') ?? 0).toBeGreaterThanOrEqual(3);
	expect(early.get('desk-2') ?? 0).toBeLessThan(10);
	clock.advanceSync(60_000);
	const late = count(2000, () => send(chooser, clock, upstreams, () => 10));
	expect(late.get('desk-2') ?? 0).toBeGreaterThan(300);
});

test('when every upstream fails, no more than the allowed share is ejected', () => {
	// A faulty release fails on every host. Ejecting all of them would leave none to answer.
	const {clock, chooser} = createFixture();
	const upstreams = createUpstreams(10).map(upstream => ({...upstream, failureDomain: 'leith-hall'}));
	const counts = count(2000, () => send(chooser, clock, upstreams, () => undefined));
	expect(counts.get(undefined)).toBeUndefined();
	expect([...counts.values()].filter(times => times > 200).length).toBeGreaterThanOrEqual(5);
});

test('a long request is not sent as a probe while another upstream is available', () => {
	const {clock, chooser} = createFixture();
	const upstreams = createUpstreams(4).map(upstream => ({...upstream, failureDomain: 'leith-hall'}));
	eject(chooser, upstreams, 'desk-2');
	clock.advanceSync(40_000);
	for (let index = 0; index < 100; index++) {
		expect(chooser.choose(service, upstreams, {...context, requestClass: RequestClass.Long})?.upstreamId).not.toBe('desk-2');
	}
});

test('requests broken by a restart do not count against the new incarnation', () => {
	// An upstream restarts with eight requests in progress. All eight fail, and must not eject the new process.
	const {clock, chooser} = createFixture();
	const upstreams = createUpstreams(2).map(upstream => ({...upstream, failureDomain: 'leith-hall'}));
	chooser.choose(service, upstreams, context);
	for (let held = 0; held < 8; held++) {
		chooser.recordStart('desk-0', RequestClass.Check);
	}

	upstreams[0] = {...upstreams[0]!, incarnation: 2};
	chooser.choose(service, upstreams, context);
	for (let held = 0; held < 8; held++) {
		chooser.recordEnd('desk-0', {requestClass: RequestClass.Check, latencyMs: 1, isSuccess: false});
	}

	clock.advanceSync(20_000);
	const counts = count(200, () => send(chooser, clock, upstreams, () => 10));
	expect(counts.get('desk-0') ?? 0).toBeGreaterThan(50);
});

test('a new host gets its load gradually', () => {
	const {clock, chooser} = createFixture();
	const upstreams = createUpstreams(4).map(upstream => ({...upstream, failureDomain: 'leith-hall'}));
	count(10, () => send(chooser, clock, upstreams, () => 10));
	clock.advanceSync(20_000);
	const more = [...upstreams, createUpstream(9, {failureDomain: 'leith-hall'})];
	const counts = count(50, () => send(chooser, clock, more, () => 10));
	expect(counts.get('desk-9') ?? 0).toBeLessThan(5);
	clock.advanceSync(20_000);
	const later = count(1000, () => send(chooser, clock, more, () => 10));
	expect(later.get('desk-9') ?? 0).toBeGreaterThan(100);
});

test('requests follow the weights of failure domains, and an unweighted domain is the last resort', () => {
	const weights = parseFailureDomainWeights('leith-hall:1, govan-hall:3');
	const {clock, chooser} = createFixture({getFailureDomainWeights: () => weights});
	const upstreams = createUpstreams(9);
	const domains = count(4000, () => {
		const id = send(chooser, clock, upstreams, () => 10);
		return upstreams.find(({upstreamId}) => upstreamId === id)!.failureDomain;
	});
	expect(domains.get('grange-hall')).toBeUndefined();
	expect(domains.get('govan-hall')! / domains.get('leith-hall')!).toBeGreaterThan(2.6);
	expect(domains.get('govan-hall')! / domains.get('leith-hall')!).toBeLessThan(3.4);
	const rest = upstreams.filter(({failureDomain}) => failureDomain === 'grange-hall');
	expect(chooser.choose(service, rest, context)).toBeDefined();
});

test('the same seed gives the same choices', () => {
	const run = () => {
		const {clock, chooser} = createFixture();
		const upstreams = createUpstreams(11);
		return Array.from({length: 500}, () => send(chooser, clock, upstreams, id => id === 'desk-3' ? undefined : 10));
	};

	expect(run()).toEqual(run());
});

test('the state of replaced hosts is deleted', () => {
	// Hosts are replaced all day under new names. If the entry kept state of each, it would run out of memory.
	const clock = new ManualClock();
	const forgotten: string[] = [];
	const states = new UpstreamStates(clock, 60_000, id => forgotten.push(id));
	for (let index = 0; index < 1000; index++) {
		states.observe(createUpstream(index));
		states.recordStart(`desk-${index}`, RequestClass.Check);
		states.sweep();
		clock.advanceSync(1000);
	}

	expect(states.size).toBeLessThan(130);
	expect(forgotten.length).toBe(1000 - states.size);
	expect(states.recordEnd('desk-0', RequestClass.Check)).toBeUndefined();
});

test('a host that hangs is avoided before any request to it has ended', () => {
	// A host accepts requests and never answers. No request has failed yet, but long requests must not be sent there either.
	const {clock, chooser} = createFixture();
	const upstreams = createUpstreams(4).map(upstream => ({...upstream, failureDomain: 'leith-hall'}));
	count(100, () => send(chooser, clock, upstreams, () => 10));
	chooser.recordStart('desk-1', RequestClass.Check);
	clock.advanceSync(60);
	for (let index = 0; index < 100; index++) {
		expect(chooser.choose(service, upstreams, {...context, requestClass: RequestClass.Long})?.upstreamId).not.toBe('desk-1');
		expect(chooser.choose(service, upstreams, context)?.upstreamId).not.toBe('desk-1');
	}
});
