import process from 'node:process';
import {expect, test} from 'vitest';
import fc from 'fast-check';
import {type NetworkFaults} from '../src/plugins/peers-memory-transport.ts';
import {upstreamSlots, World} from './membership-world.ts';

const entryIds = ['a', 'b', 'c'];
const anyEntry = fc.constantFrom(...entryIds);
const maxHoldMs = 2000;

const action = fc.oneof(
	{
		weight: 12, arbitrary: fc.record({
			kind: fc.constant('take' as const), entry: anyEntry, count: fc.integer({min: 1, max: 10}), runMs: fc.integer({min: 10, max: 2500}),
		}),
	},
	{weight: 3, arbitrary: fc.record({kind: fc.constant('cut' as const), entry: anyEntry, other: anyEntry})},
	{weight: 3, arbitrary: fc.record({kind: fc.constant('reach' as const), entry: anyEntry})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('heal' as const)})},
	{weight: 3, arbitrary: fc.record({kind: fc.constant('pause' as const), entry: anyEntry, pauseMs: fc.integer({min: 100, max: 20_000})})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('crash' as const), entry: anyEntry})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('leave' as const), entry: anyEntry})},
	{weight: 3, arbitrary: fc.record({kind: fc.constant('restart' as const), entry: anyEntry})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('new-incarnation' as const)})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('repeat' as const), entry: anyEntry, back: fc.integer({min: 1, max: 20})})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('log' as const), isDown: fc.boolean()})},
	{weight: 8, arbitrary: fc.record({kind: fc.constant('wait' as const), waitMs: fc.integer({min: 10, max: 4000})})},
);

const faults: fc.Arbitrary<NetworkFaults> = fc.record({
	minDelayMs: fc.constant(1),
	maxDelayMs: fc.constantFrom(2, 50, 600),
	loseRequestChance: fc.constantFrom(0, 0.1),
	loseAnswerChance: fc.constantFrom(0, 0.1, 0.3),
	duplicateChance: fc.constantFrom(0, 0.2),
});

type Action = typeof action extends fc.Arbitrary<infer Value> ? Value : never;
type Performers = {[Kind in Action['kind']]: (step: Extract<Action, {kind: Kind}>) => Promise<void> | void};

const createActor = (world: World) => {
	let incarnation = 1;
	const leaving: Array<Promise<void>> = [];
	const getUpstream = () => world.upstreams.get(`u@${incarnation}`)!;
	const performers: Performers = {
		take({entry, count, runMs}) {
			const taker = world.entries.get(entry);
			for (let index = 0; taker && index < count; index++) { // eslint-disable-line no-unmodified-loop-condition
				world.take(taker, 'u', runMs, maxHoldMs);
			}
		},
		cut({entry, other}) {
			world.setCut(entry, other, true);
		},
		reach({entry}) {
			getUpstream().targets = [entry];
		},
		heal() {
			world.network.healAll();
			getUpstream().targets = [];
		},
		pause({entry, pauseMs}) {
			world.pause(entry, pauseMs);
		},
		crash({entry}) {
			world.crash(entry);
		},
		leave({entry}) {
			if (world.entries.get(entry)?.clock.isPaused === false) {
				leaving.push(world.leave(entry));
			}
		},
		async restart({entry}) {
			if (!world.entries.has(entry) && !world.isLeaving(entry)) {
				await world.startEntry(entry);
			}
		},
		'new-incarnation'() {
			getUpstream().isStopped = true;
			world.addUpstream('u', {incarnation: ++incarnation});
		},
		repeat({entry, back}) {
			const old = getUpstream().sent.at(-back);
			const taker = world.entries.get(entry);
			if (taker && old) {
				world.repeat(taker, old);
			}
		},
		log({isDown}) {
			world.log.faults.isDown = isDown;
		},
		async wait({waitMs}) {
			await waitChecked(world, waitMs);
		},
	};
	const perform = async (step: Action) => {
		await (performers[step.kind] as (step: Action) => Promise<void> | void)(step);
		check(world);
	};

	return {perform, finish: async () => Promise.all(leaving)};
};

const check = (world: World) => {
	for (const [key, held] of world.getHeld()) {
		expect(held, key).toBeLessThanOrEqual(upstreamSlots);
	}
};

/** Takes all it can at all entries while time goes on, so that every slot granted twice shows. */
const waitChecked = async (world: World, waitMs: number) => {
	for (let leftMs = waitMs; leftMs > 0; leftMs -= 250) {
		await world.clock.advance(Math.min(250, leftMs));
		for (const entry of world.entries.values()) {
			for (let index = 0; index < upstreamSlots; index++) {
				world.take(entry, 'u', 1 + world.random.below(maxHoldMs), maxHoldMs);
			}
		}

		check(world);
	}
};

const run = async (steps: Action[], networkFaults: NetworkFaults, seed: number, isEchoing = true) => {
	const world = new World({seed, settings: {slots: {maxHoldMs}}});
	for (const id of entryIds) {
		await world.startEntry(id);
	}

	world.network.faults = networkFaults;
	world.addUpstream('u', {isEchoing});
	const actor = createActor(world);
	try {
		await waitChecked(world, 2000);
		for (const step of steps) {
			await actor.perform(step);
		}
	} finally {
		await world.stop();
		await actor.finish();
	}
};

const runs = Number(process.env.PROPERTY_RUNS ?? 40);
const seed = Number(process.env.PROPERTY_SEED ?? 4);

test('whatever fails, no upstream is ever given more than its slots', async () => {
	// A user would see a bill issued by an upstream that ran nine requests at once and ran out of memory. Entries come,
	// go, pause and lose one another and the upstream changes its sponsor, in any order. Two sponsors that both believe
	// in their right, or a share counted as free while its holder still uses it, would grant a slot twice.
	await fc.assert(fc.asyncProperty(fc.array(action, {minLength: 5, maxLength: 40}), faults, fc.nat(), async (steps, networkFaults, worldSeed) => {
		await run(steps, networkFaults, worldSeed);
	}), {numRuns: runs, seed});
}, 600_000);

test('an upstream that echoes no sponsor gets equal shares, which nothing moves', async () => {
	await fc.assert(fc.asyncProperty(fc.array(action, {minLength: 5, maxLength: 20}), faults, fc.nat(), async (steps, networkFaults, worldSeed) => {
		// A replaced entry is a fourth one as long as requests of the crashed one run: left out here, and said in the design note.
		await run(steps.filter(({kind}) => kind !== 'restart'), networkFaults, worldSeed, false);
	}), {numRuns: Math.ceil(runs / 4), seed});
}, 600_000);

test('a request to a restarted upstream needs a slot of the new incarnation', async () => {
	// Found by the property above. An upstream restarts; an entry takes a slot of its share of the former incarnation
	// and sends the request to the new one, whose slots its sponsor has meanwhile granted in full.
	await run([
		{kind: 'new-incarnation'},
		{kind: 'wait', waitMs: 225},
		{
			kind: 'take', entry: 'a', count: 1, runMs: 10,
		},
		{kind: 'repeat', entry: 'a', back: 1},
		{kind: 'cut', entry: 'a', other: 'a'},
		{kind: 'heal'},
	], {
		minDelayMs: 1, maxDelayMs: 50, loseRequestChance: 0.1, loseAnswerChance: 0, duplicateChance: 0.2,
	}, 72_953_091);
	await run([{kind: 'new-incarnation'}, {kind: 'wait', waitMs: 225}, {kind: 'wait', waitMs: 4000}], {
		minDelayMs: 1, maxDelayMs: 2, loseRequestChance: 0, loseAnswerChance: 0, duplicateChance: 0,
	}, 1);
});
