/**
How the JavaScript engine is fitted to the host.
*/
import {expect, it} from 'vitest';
import {isOptimizing} from '../src/utils/engine.ts';

/** Guards against compiler threads that take half of a small host's processor while starts are refused as expired. */
it('leaves the optimizing compiler to hosts with a good part of a processor', () => {
	expect([0.069, 0.186].map(processors => isOptimizing(processors))).toEqual([false, false]);
	expect([0.405, 1, 1.35].map(processors => isOptimizing(processors))).toEqual([true, true, true]);
});
