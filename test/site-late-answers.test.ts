/**
Owners whose thread handles answers of agents late.
*/
import {afterEach, expect, it} from 'vitest';
import {createSite, jobId} from './site-setup.ts';
import {createSpec, createStep, type SiteWorld} from './site-world.ts';

let world: SiteWorld;

afterEach(() => {
	world.stop();
	expect(world.violations).toEqual([]);
});

/** Guards against orders that are refused as expired although they arrive well within the time that they are good for. */
it('dates orders by the agent\'s clock, not by when its answer was handled', async () => {
	world = await createSite(3);
	world.plan = () => ({workMs: 300});
	let calls = 0;
	world.getAnswerDelayMs = () => [20, 800, 300, 900][calls++ % 4]!;
	world.getCallDelayMs = () => 800;
	await world.submit(jobId, createSpec(Array.from({length: 30}, (_, index) => createStep({count: 4, after: index === 0 ? [] : [index - 1]}))));
	await world.clock.advance(20_000);
	expect(world.notes.filter(({event}) => event === 'start').length).toBeGreaterThan(20);
	expect(world.notes.filter(({event, fields}) => event === 'start refused' && fields.refusal === 'expired')).toEqual([]);
});
