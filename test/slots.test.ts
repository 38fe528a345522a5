import {afterEach, expect, test} from 'vitest';
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
