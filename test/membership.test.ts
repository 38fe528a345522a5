import {afterEach, expect, test} from 'vitest';
import fc from 'fast-check';
import {FlapDamper} from '../src/requests/flap-damper.ts';
import {HostKind} from '../src/requests/membership-messages.ts';
import {MembershipState} from '../src/requests/membership-state.ts';
import {HostState} from '../src/types/announcements.ts';
import {ServiceName} from '../src/types/services.ts';
import {ManualClock} from '../src/utils/manual-clock.ts';
import {World, type WorldEntry} from './membership-world.ts';

let world = new World();
const allIds = ['a', 'b', 'c'];

afterEach(async () => {
	await world.stop();
});

const createWorld = async (settings: ConstructorParameters<typeof World>[0] = {}, ids = allIds) => {
	world = new World(settings);
	for (const id of ids) {
		await world.startEntry(id);
	}

	await world.clock.advance(1000);
};

const getCounts = (entry: WorldEntry) => entry.kernel.get(ServiceName.Metrics).getCounts();
const getAllRoutable = () => [...world.entries.keys()].map(id => world.getRoutable(id));

test('all entries know an upstream within 3 s, whichever entry it announces itself to', async () => {
	await createWorld();
	world.addUpstream('u1', {targets: ['a']});
	world.addUpstream('u2', {targets: ['b'], isEchoing: false});
	await world.clock.advance(3000);
	expect(getAllRoutable()).toEqual([['u1', 'u2'], ['u1', 'u2'], ['u1', 'u2']]);
});

test('a worker known to one entry is known to all', async () => {
	await createWorld();
	world.entries.get('a')!.kernel.get(ServiceName.Workers).announce({
		workerId: 'w', incarnation: 1, sequence: 1, state: HostState.Alive, address: '127.0.0.1:1', region: 'r', failureDomain: 'd', rack: 'k', capacity: {processors: 1, memoryMb: 1, accelerators: 0},
	});
	await world.clock.advance(1000);
	expect([...world.entries.values()].map(({kernel}) => kernel.get(ServiceName.Workers).list().map(({workerId}) => workerId))).toEqual([['w'], ['w'], ['w']]);
	// One announcement and then silence: the lease ends everywhere.
	await world.clock.advance(3500);
	expect([...world.entries.values()].flatMap(({kernel}) => kernel.get(ServiceName.Workers).list())).toEqual([]);
});

test('an upstream that drains gets no new work anywhere after 3 s, also across a cut', async () => {
	// An operator drains a host for repair and pulls it after a few seconds. The drain reaches one entry; another,
	// which has just lost contact with that one, still counts on its word and sends requests to the host.
	await createWorld();
	const upstream = world.addUpstream('u', {targets: ['a']});
	await world.clock.advance(3000);
	for (const [a, b] of [['a', 'b'], ['a', 'c'], ['b', 'c']] as const) {
		world.setCut(a, b, true);
	}

	upstream.state = HostState.Draining;
	upstream.isStopped = true;
	await upstream.announce(world.entries.get('a')!);
	expect(world.getRoutable('a')).toEqual([]);
	await world.clock.advance(3000);
	expect(getAllRoutable()).toEqual([[], [], []]);
});

test('a late announcement of the same incarnation does not undo a drain, at any entry', async () => {
	// The host says that it drains, to one entry. Its announcement from before, delayed in the network, arrives
	// afterwards at another entry, which then tells all others that the host is alive.
	await createWorld();
	const upstream = world.addUpstream('u', {targets: ['a']});
	await world.clock.advance(3000);
	upstream.isStopped = true;
	const late = {...upstream.sent.at(-1)!, sequence: 1000};
	upstream.state = HostState.Draining;
	await upstream.announce(world.entries.get('a')!);
	world.repeat(world.entries.get('b')!, late);
	world.repeat(world.entries.get('c')!, upstream.sent[0]!);
	await world.clock.advance(1000);
	expect(getAllRoutable()).toEqual([[], [], []]);
	// The next start of the host is news.
	world.addUpstream('u', {incarnation: 2});
	await world.clock.advance(1000);
	expect(getAllRoutable()).toEqual([['u'], ['u'], ['u']]);
});

test('announcements repeated and out of order lead all entries to the same view', async () => {
	// Retries and a balancer deliver announcements twice and in any order to any entry. If the order of arrival counted,
	// entries would disagree for ever on which incarnation runs and whether it drains.
	const announcement = fc.record({
		entry: fc.constantFrom(...allIds),
		incarnation: fc.integer({min: 1, max: 3}), sequence: fc.integer({min: 1, max: 6}),
		state: fc.constantFrom(...Object.values(HostState)), isTwice: fc.boolean(),
	});
	await fc.assert(fc.asyncProperty(fc.array(announcement, {minLength: 1, maxLength: 12}), fc.nat(), async (sent, seed) => {
		await createWorld({seed});
		for (const {entry, isTwice, ...order} of sent) {
			const body = {
				upstreamId: 'u', service: 's', address: `127.0.0.1:${order.incarnation}`, region: 'r', failureDomain: 'd', slots: 8, connections: 64, isGuarded: false, ...order,
			};
			world.repeat(world.entries.get(entry)!, body);
			if (isTwice) {
				world.repeat(world.entries.get(entry)!, body);
			}

			await world.clock.advance(world.random.below(300));
		}

		await world.clock.advance(1000);
		const views = [...world.entries.values()].map(({kernel}) => kernel.get(ServiceName.Upstreams).get('u')!).map(({incarnation, state}) => ({incarnation, state}));
		const newest = Math.max(...sent.map(({incarnation}) => incarnation));
		const states = new Set(sent.filter(({incarnation}) => incarnation === newest).map(({state}) => state));
		const state = [HostState.Gone, HostState.Draining, HostState.Alive].find(candidate => states.has(candidate))!;
		expect(views).toEqual([{incarnation: newest, state}, {incarnation: newest, state}, {incarnation: newest, state}]);
		await world.stop();
	}), {numRuns: 25, seed: 11});
});

test('two entries that cannot reach each other both keep the upstreams', async () => {
	// The link between two entries breaks; both still reach the upstreams and a third entry. Without the third passing
	// on what it knows, each of the two would lose the hosts in the other's care and refuse callers for nothing.
	await createWorld();
	world.addUpstream('u1', {targets: ['a']});
	world.addUpstream('u2', {targets: ['b']});
	await world.clock.advance(3000);
	world.setCut('a', 'b', true);
	for (let second = 0; second < 20; second++) {
		await world.clock.advance(1000);
		expect(getAllRoutable()).toEqual([['u1', 'u2'], ['u1', 'u2'], ['u1', 'u2']]);
	}
});

test('a region link cut for an hour heals without a storm, and nothing grows meanwhile', async () => {
	// Two regions lose each other for an hour. Each side keeps its own hosts; the other side's get no work. When the
	// link heals, both sides must know all hosts again within seconds, from one full exchange, with no flood.
	// Slots play no part in this: a slow period saves most of the run's time.
	await createWorld({settings: {slots: {periodMs: 5000}}}, ['a', 'b']);
	for (let index = 0; index < 5; index++) {
		world.addUpstream(`a${index}`, {targets: ['a']});
		world.addUpstream(`b${index}`, {targets: ['b']});
	}

	await world.clock.advance(3000);
	expect(getAllRoutable().map(ids => ids.length)).toEqual([10, 10]);
	world.setCut('a', 'b', true);
	await world.clock.advance(5000);
	expect(getAllRoutable().map(ids => ids.filter(id => id.startsWith('a')).length)).toEqual([5, 0]);
	await world.clock.advance(3_600_000);
	const beforeMs = world.clock.monotonicMs();
	const before = world.announcements;
	await world.clock.advance(10_000);
	const perSecond = (world.announcements - before) / 10;
	world.network.healAll();
	const {calls} = world.network;
	await world.clock.advance(5000);
	expect(getAllRoutable().map(ids => ids.length)).toEqual([10, 10]);
	expect((world.announcements - before - (perSecond * 10)) / 5).toBeLessThan(perSecond * 1.5);
	expect((world.network.calls - calls) / 5).toBeLessThan(60);
	expect(world.clock.monotonicMs() - beforeMs).toBe(15_000);
}, 120_000);

test('an entry paused past its leases sends nothing on old news, and comes back whole', async () => {
	// An entry is suspended for half a minute while a host drains and another dies. On waking it still has both in
	// memory as alive; a request sent on that memory would be lost.
	await createWorld();
	const u1 = world.addUpstream('u1', {targets: ['a']});
	const u2 = world.addUpstream('u2', {targets: ['b']});
	world.addUpstream('u3', {targets: ['b']});
	await world.clock.advance(3000);
	world.pause('c', 30_000);
	u1.state = HostState.Draining;
	u2.isStopped = true;
	await world.clock.advance(29_990);
	const waking = world.entries.get('c')!;
	waking.clock.resume();
	expect(world.getRoutable('c')).toEqual([]);
	await world.clock.advance(3000);
	expect(getAllRoutable()).toEqual([['u3'], ['u3'], ['u3']]);
});

test('all entries lost and back: hosts come back spread out, and within the budget', async () => {
	// Every entry is replaced at once, and hundreds of hosts have nobody to announce themselves to. Were they all to
	// come in the moment that the first entry is up, it would fall over, and the next after it.
	await createWorld({settings: {membership: {announcementsPerSecond: 100}}});
	for (let index = 0; index < 200; index++) {
		world.addUpstream(`u${index}`, {isEchoing: false});
	}

	await world.clock.advance(5000);
	for (const id of allIds) {
		world.crash(id);
	}

	await world.clock.advance(10_000);
	for (const id of allIds) {
		await world.startEntry(`${id}2`);
	}

	let peak = 0;
	for (let step = 0; step < 150; step++) {
		const sent = world.announcements;
		await world.clock.advance(100);
		peak = Math.max(peak, world.announcements - sent);
	}

	// 200 hosts in one instant would be 200 here.
	expect(peak).toBeLessThan(40);
	expect(getAllRoutable().map(ids => ids.length)).toEqual([200, 200, 200]);
	const before = world.announcements;
	await world.clock.advance(10_000);
	expect((world.announcements - before) / 10).toBeLessThan(3 * 100 * 1.1);
});

test('a host that comes and goes is held down, and let back in time', async () => {
	// A host crashes and restarts every few seconds. Each time it looks alive for a moment and draws requests, which
	// then fail. Held down by its flaps, it draws none until it has stayed up for long enough.
	await createWorld();
	for (let incarnation = 1; incarnation <= 6; incarnation++) {
		const upstream = world.addUpstream('u', {incarnation});
		await world.clock.advance(2000);
		upstream.isStopped = true;
		await world.clock.advance(2000);
	}

	world.addUpstream('u', {incarnation: 7});
	await world.clock.advance(3000);
	expect(getAllRoutable()).toEqual([[], [], []]);
	await world.clock.advance(150_000);
	expect(getAllRoutable()).toEqual([['u'], ['u'], ['u']]);
});

test('hosts gone for long are forgotten', async () => {
	await createWorld({settings: {membership: {forgetAfterMs: 20_000}}});
	for (let incarnation = 0; incarnation < 20; incarnation++) {
		const upstream = world.addUpstream(`gone${incarnation}`);
		await world.clock.advance(100);
		upstream.isStopped = true;
	}

	await world.clock.advance(60_000);
	expect([...world.entries.values()].flatMap(({kernel}) => kernel.get(ServiceName.Upstreams).list())).toEqual([]);
	expect(getCounts(world.entries.get('a')!).hosts_in_care).toBe(0);
});

test('a graceful shutdown hands the sponsorship over, with no slot lost or granted twice', async () => {
	// An entry is stopped for an upgrade. Its upstreams must not wait for its sponsorship to lapse, and the next sponsor
	// must know every slot at once instead of holding half of them back for a minute.
	await createWorld();
	const upstream = world.addUpstream('u', {targets: ['a']});
	await world.clock.advance(3000);
	expect(upstream.sent.at(-1)?.sponsorId).toMatch(/^a#/);
	upstream.targets = [];
	const leaving = world.leave('a');
	await world.clock.advance(4000);
	await leaving;
	const free = [...world.entries.values()].map(({kernel}) => kernel.get(ServiceName.Slots).getFree('u'));
	expect(free.reduce((sum, count) => sum + count, 0)).toBe(8);
});

test('a lost sponsor is replaced while the others keep their shares', async () => {
	// The entry that grants an upstream's slots dies. The others must go on with the shares they have, and the slots of
	// the dead one come back only when no request of it can be running.
	await createWorld({settings: {slots: {maxHoldMs: 10_000}}});
	world.addUpstream('u', {targets: ['a']});
	await world.clock.advance(4000);
	world.upstreams.get('u@1')!.targets = [];
	const getFree = (id: string) => world.entries.get(id)!.kernel.get(ServiceName.Slots).getFree('u');
	const before = getFree('b') + getFree('c');
	expect(before).toBeGreaterThan(3);
	world.crash('a');
	for (let step = 0; step < 80; step++) {
		await world.clock.advance(100);
		expect(getFree('b') + getFree('c')).toBe(before);
	}

	await world.clock.advance(15_000);
	expect(getFree('b') + getFree('c')).toBe(8);
});

test('what entries tell each other does not grow with the hosts, only with what changed', () => {
	const clock = new ManualClock();
	const policy = {
		voucherLeaseMs: 1250, graceMs: 1250, forgetAfterMs: 600_000, getSpread: () => 0,
	};
	const damper = new FlapDamper(clock, {holdAt: 4, releaseAt: 1.5, halfLifeMs: 60_000});
	const [a, b] = ['a#1', 'b#1'].map(id => new MembershipState(clock, id, policy, damper)) as [MembershipState, MembershipState];
	const announce = (index: number, sequence: number, state = HostState.Alive) => {
		a.hear(`upstream/${index}`, {
			upstreamId: String(index), service: 's', incarnation: 1, sequence, state, address: '127.0.0.1:1', region: 'r', failureDomain: 'd', slots: 8, connections: 64, isGuarded: false,
		}, 3000);
	};

	const exchange = () => {
		const request = b.createPull('a#1');
		const answer = a.servePull(request);
		b.takeAnswer(answer, clock.monotonicMs());
		return JSON.stringify([request, answer]).length;
	};

	for (let index = 0; index < 5000; index++) {
		announce(index, 1);
	}

	expect(exchange()).toBeGreaterThan(500_000);
	for (let index = 0; index < 5000; index++) {
		announce(index, 2);
	}

	expect(exchange()).toBeLessThan(250);
	announce(7, 3, HostState.Draining);
	expect(exchange()).toBeLessThan(600);
	expect(b.getAlive(HostKind.Upstream)).toHaveLength(4999);
});
