import {expect, test} from 'vitest';
import {createWeightsLookup} from '../src/requests/choice-weights.ts';

test('weights follow the current text and are parsed once for each text', () => {
	let text: string | undefined = 'leith-hall:2, govan-hall:1';
	const lookUp = createWeightsLookup(service => service === 'desk' ? text : undefined);
	const first = lookUp('desk');
	expect([...first!]).toEqual([['leith-hall', 2], ['govan-hall', 1]]);
	expect(lookUp('desk')).toBe(first);
	text = 'leith-hall:1';
	expect([...lookUp('desk')!]).toEqual([['leith-hall', 1]]);
	text = undefined;
	expect(lookUp('desk')).toBeUndefined();
	expect(lookUp('other')).toBeUndefined();
});
