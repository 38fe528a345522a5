import process from 'node:process';
import {expect, test} from 'vitest';
import fc from 'fast-check';
import {type NetworkFaults} from '../src/plugins/peers-memory-transport.ts';
import {upstreamSlots, SimulatedMembership} from './simulated-membership.ts';

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

const createActor = (simulation: SimulatedMembership) => {
	let incarnation = 1;
	const leaving: Array<Promise<void>> = [];
	const getUpstream = () => simulation.upstreams.get(`u@${incarnation}`)!;
	const performers: Performers = {
		take({entry, count, runMs}) {
			const simulatedEntry = simulation.entries.get(entry);
			for (let index = 0; simulatedEntry && index < count; index++) { // eslint-disable-line no-unmodified-loop-condition
				simulation.tryAcquireSlot(simulatedEntry, 'u', runMs, maxHoldMs);
			}
		},
		cut({entry, other}) {
			simulation.setLinkBroken(entry, other, true);
		},
		reach({entry}) {
			getUpstream().targets = [entry];
		},
		heal() {
			simulation.network.restoreAllLinks();
			getUpstream().targets = [];
		},
		pause({entry, pauseMs}) {
			simulation.pause(entry, pauseMs);
		},
		crash({entry}) {
			simulation.crash(entry);
		},
		leave({entry}) {
			if (simulation.entries.get(entry)?.clock.isPaused === false) {
				leaving.push(simulation.leave(entry));
			}
		},
		async restart({entry}) {
			if (!simulation.entries.has(entry) && !simulation.isLeaving(entry)) {
				await simulation.startEntry(entry);
			}
		},
		'new-incarnation'() {
			getUpstream().isStopped = true;
			simulation.addUpstream('u', {incarnation: ++incarnation});
		},
		repeat({entry, back}) {
			const old = getUpstream().sent.at(-back);
			const simulatedEntry = simulation.entries.get(entry);
			if (simulatedEntry && old) {
				simulation.redeliver(simulatedEntry, old);
			}
		},
		log({isDown}) {
			simulation.log.faults.isDown = isDown;
		},
		async wait({waitMs}) {
			await waitAndCheck(simulation, waitMs);
		},
	};
	const perform = async (step: Action) => {
		await (performers[step.kind] as (step: Action) => Promise<void> | void)(step);
		checkHeldSlots(simulation);
	};

	return {perform, finish: async () => Promise.all(leaving)};
};

const checkHeldSlots = (simulation: SimulatedMembership) => {
	for (const [key, held] of simulation.getHeld()) {
		expect(held, key).toBeLessThanOrEqual(upstreamSlots);
	}
};

/** Advances time and reserves as many slots as possible at all entries, so that a slot granted twice is detected. */
const waitAndCheck = async (simulation: SimulatedMembership, waitMs: number) => {
	for (let leftMs = waitMs; leftMs > 0; leftMs -= 250) {
		await simulation.clock.advance(Math.min(250, leftMs));
		for (const entry of simulation.entries.values()) {
			for (let index = 0; index < upstreamSlots; index++) {
				simulation.tryAcquireSlot(entry, 'u', 1 + simulation.random.below(maxHoldMs), maxHoldMs);
			}
		}

		checkHeldSlots(simulation);
	}
};

const runSteps = async (steps: Action[], networkFaults: NetworkFaults, seed: number, isEchoing = true) => {
	const simulation = new SimulatedMembership({seed, settings: {slots: {maxHoldMs}}});
	for (const id of entryIds) {
		await simulation.startEntry(id);
	}

	simulation.network.faults = networkFaults;
	simulation.addUpstream('u', {isEchoing});
	const actor = createActor(simulation);
	try {
		await waitAndCheck(simulation, 2000);
		for (const step of steps) {
			await actor.perform(step);
		}
	} finally {
		await simulation.stop();
		await actor.finish();
	}
};

const runs = Number(process.env.PROPERTY_RUNS ?? 40);
const seed = Number(process.env.PROPERTY_SEED ?? 4);

test('an upstream never gets more requests than its slots, whatever fails', async () => {
	// An upstream that runs nine requests at once may run out of memory. Entries start, stop, pause and lose contact, and the
	// upstream changes its sponsor, in any order. Two sponsors that both consider themselves valid, or a share that counts as
	// free while its holder still uses it, would grant a slot twice.
	await fc.assert(fc.asyncProperty(fc.array(action, {minLength: 5, maxLength: 40}), faults, fc.nat(), async (steps, networkFaults, simulationSeed) => {
		await runSteps(steps, networkFaults, simulationSeed);
	}), {numRuns: runs, seed});
}, 600_000);

test('an upstream that echoes no sponsor is divided into equal shares, which no fault changes', async () => {
	await fc.assert(fc.asyncProperty(fc.array(action, {minLength: 5, maxLength: 20}), faults, fc.nat(), async (steps, networkFaults, simulationSeed) => {
		// Restarts are left out, a known limit that the design note states: while requests of the crashed entry still run, the
		// restarted one counts as a fourth entry.
		await runSteps(steps.filter(({kind}) => kind !== 'restart'), networkFaults, simulationSeed, false);
	}), {numRuns: Math.ceil(runs / 4), seed});
}, 600_000);

test('a request to a restarted upstream needs a slot of the new incarnation', async () => {
	// A case found by the property test above. An upstream restarts. An entry takes a slot from its share of the previous
	// incarnation and sends the request to the new one, all of whose slots the sponsor has meanwhile granted.
	await runSteps([
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
	await runSteps([{kind: 'new-incarnation'}, {kind: 'wait', waitMs: 225}, {kind: 'wait', waitMs: 4000}], {
		minDelayMs: 1, maxDelayMs: 2, loseRequestChance: 0, loseAnswerChance: 0, duplicateChance: 0,
	}, 1);
});
