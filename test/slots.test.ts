import {afterEach, expect, test} from 'vitest';
import fc from 'fast-check';
import {defaultSlotsCondition, measureSlots, SlotDivision} from '../src/measure/slots-measure.ts';
import {divideByDemand, getWaitingPart} from '../src/requests/slot-policy.ts';
import {ServiceName} from '../src/types/services.ts';
import {upstreamSlots, World, type WorldEntry} from './membership-world.ts';

let world = new World();

afterEach(async () => {
	await world.stop();
});

const createWorld = async (entryIds: string[], maxHoldMs = 2000) => {
	world = new World({settings: {slots: {maxHoldMs}}});
	const entries = [];
	for (const id of entryIds) {
		entries.push(await world.startEntry(id));
	}

	return entries;
};

const getFree = (entry: WorldEntry, upstreamId: string) => entry.kernel.get(ServiceName.Slots).getFree(upstreamId);
const getSum = (upstreamId: string) => [...world.entries.values()].reduce((sum, entry) => sum + getFree(entry, upstreamId), 0);

test('all slots are granted, and each entry gets some', async () => {
	const entries = await createWorld(['a', 'b', 'c']);
	world.addUpstream('u');
	await world.clock.advance(5000);
	expect(getSum('u')).toBe(upstreamSlots);
	expect(entries.map(entry => getFree(entry, 'u') >= 2)).toEqual([true, true, true]);
});

test('shares follow demand and come back', async () => {
	const [a, b, c] = await createWorld(['a', 'b', 'c']) as [WorldEntry, WorldEntry, WorldEntry];
	world.addUpstream('u');
	await world.clock.advance(3000);
	a.kernel.get(ServiceName.Slots).setDemand('s', 20);
	await world.clock.advance(1000);
	expect([a, b, c].map(entry => getFree(entry, 'u'))).toEqual([8, 0, 0]);
	a.kernel.get(ServiceName.Slots).setDemand('s', 0);
	b.kernel.get(ServiceName.Slots).setDemand('s', 20);
	c.kernel.get(ServiceName.Slots).setDemand('s', 20);
	await world.clock.advance(1000);
	expect([a, b, c].map(entry => getFree(entry, 'u'))).toEqual([0, 4, 4]);
});

test('a guarded upstream needs no sponsor; one that does not echo gets equal shares', async () => {
	const entries = await createWorld(['a', 'b', 'c']);
	world.addUpstream('guarded', {isGuarded: true, isEchoing: false});
	world.addUpstream('plain', {isEchoing: false});
	await world.clock.advance(3000);
	expect(entries.map(entry => getFree(entry, 'guarded'))).toEqual([8, 8, 8]);
	expect(entries.map(entry => getFree(entry, 'plain'))).toEqual([2, 2, 2]);
	expect(entries[0]!.kernel.get(ServiceName.Slots).getConnections('plain')).toBe(16);
});

test('a slot is not held for longer than the sponsor counts on', async () => {
	const [a] = await createWorld(['a']) as [WorldEntry];
	world.addUpstream('u');
	await world.clock.advance(3000);
	const slots = a.kernel.get(ServiceName.Slots);
	expect(slots.tryTake('u', 2001)).toBeUndefined();
	expect(slots.tryTake('unknown', 1)).toBeUndefined();
	const hold = slots.tryTake('u', 2000)!;
	expect(slots.getFree('u')).toBe(7);
	hold.release();
	hold.release();
	expect(slots.getFree('u')).toBe(8);
	const counts = a.kernel.get(ServiceName.Metrics).getCounts();
	expect([counts['slot_refusals.hold-too-long'], counts['slot_refusals.unknown-upstream']]).toEqual([1, 1]);
});

test('an entry back from a pause takes nothing on its old share', async () => {
	// An entry is suspended for longer than its lease. Its slots are granted to the others; a request that it sent on
	// waking, before it has spoken to anyone, would be the ninth.
	const [, b] = await createWorld(['a', 'b', 'c']) as [WorldEntry, WorldEntry];
	world.addUpstream('u', {targets: ['a']});
	await world.clock.advance(3000);
	expect(getFree(b, 'u')).toBeGreaterThan(0);
	world.pause('b', 60_000);
	await world.clock.advance(8000);
	expect(getSum('u')).toBe(upstreamSlots);
	b.clock.isPaused = false;
	expect(b.kernel.get(ServiceName.Slots).tryTake('u', 100)).toBeUndefined();
	b.clock.resume();
	await world.clock.advance(2000);
	expect(getFree(b, 'u')).toBeGreaterThan(0);
	expect(getSum('u')).toBe(upstreamSlots);
});

test('slots are divided without loss, and by need before wish', () => {
	const need = fc.record({share: fc.integer({min: 0, max: 8}), wanted: fc.integer({min: 0, max: 8})});
	fc.assert(fc.property(fc.integer({min: 0, max: 16}), fc.array(need, {minLength: 1, maxLength: 6}), fc.nat(20), (slots, needs, offset) => {
		const shares = divideByDemand(slots, needs, offset);
		expect(shares.reduce((sum, share) => sum + share, 0)).toBe(slots);
		for (const [index, share] of shares.entries()) {
			const isUnmet = share < needs[index]!.wanted;
			const hasMore = shares.some((other, place) => other > share + 1 || (place !== index && other > needs[place]!.wanted && other > 0));
			expect(isUnmet && hasMore).toBe(false);
		}
	}), {seed: 5});
	fc.assert(fc.property(fc.nat(100), fc.integer({min: 1, max: 20}), (waiting, count) => {
		const parts = Array.from({length: count}, (_, index) => getWaitingPart(waiting, index, count));
		expect(parts.reduce((sum, part) => sum + part, 0)).toBe(waiting);
	}), {seed: 5});
});

test('shares that follow demand strand less than static ones, and never exceed the slots', () => {
	const condition = {...defaultSlotsCondition, entryShares: [0.6, 0.3, 0.1], durationMs: 4000};
	const [fixed, leased] = [SlotDivision.Static, SlotDivision.Leased].map(division => measureSlots(division, condition));
	expect(leased!.strandedShare).toBeLessThan(fixed!.strandedShare / 2);
	expect(leased!.completed).toBeGreaterThan(fixed!.completed);
	expect(leased!.peakHeld).toBeLessThanOrEqual(8);
});
