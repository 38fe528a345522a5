/**
Declarations of loss that the store drops before a restarted agent reads them.
*/
import {
	afterEach, expect, it,
} from 'vitest';
import {controlTopic} from '../src/agents/control-records.ts';
import {createSite, jobId} from './site-setup.ts';
import {
	createSpec, createStep, partition, type SimulatedSite,
} from './simulated-site.ts';

let site: SimulatedSite | undefined;

afterEach(() => {
	site?.stop();
	expect(site?.violations ?? []).toEqual([]);
	site = undefined;
});

/** Guards against tasks in two places: a restarted agent has read the stream to its end, from which the declaration of its loss was dropped, and renews leases. */
it('an agent that is restarted after the store has dropped the declaration of its loss keeps no task that starts elsewhere', async () => {
	site = await createSite(2, 1);
	site.plan = () => ({workMs: 60_000});
	await site.submit(jobId, createSpec([createStep({count: 8})]));
	await site.clock.advance(500);
	site.addHost('host-2');
	site.cuts.add('entry-0>host-0');
	expect(await site.waitFor(() => site!.notes.some(({event}) => event === 'loss stored'), 12_000)).toBeDefined();
	site.killAgent('host-0');
	const ref = {topic: controlTopic, partition};
	const {endOffset} = await site.settle(site.store.createClient('test').read(ref, 0, {waitMs: 0}));
	site.store.trim(ref, endOffset);
	await site.clock.advance(50);
	site.startAgent('host-0');
	await site.clock.advance(20_000);
	site.cuts.clear();
	await site.clock.advance(10_000);
	expect(site.events.filter(event => event.type === 'started')).toHaveLength(12);
});
