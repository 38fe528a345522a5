/**
Owners that handle answers of agents late.
*/
import {afterEach, expect, it} from 'vitest';
import {createSite, jobId} from './site-setup.ts';
import {createSpec, createStep, type SimulatedSite} from './simulated-site.ts';

let site: SimulatedSite;

afterEach(() => {
	site.stop();
	expect(site.violations).toEqual([]);
});

/** Guards against orders that are refused as expired although they arrive well within their validity. */
it('sets the expiry of orders by the agent\'s clock, not by when its answer was handled', async () => {
	site = await createSite(3);
	site.plan = () => ({workMs: 300});
	let calls = 0;
	site.getAnswerDelayMs = () => [20, 800, 300, 900][calls++ % 4]!;
	site.getCallDelayMs = () => 800;
	await site.submit(jobId, createSpec(Array.from({length: 30}, (_, index) => createStep({count: 4, after: index === 0 ? [] : [index - 1]}))));
	await site.clock.advance(20_000);
	expect(site.notes.filter(({event}) => event === 'start').length).toBeGreaterThan(20);
	expect(site.notes.filter(({event, fields}) => event === 'start refused' && fields.refusal === 'expired')).toEqual([]);
});
