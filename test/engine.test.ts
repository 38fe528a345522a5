/**
Configuration of the JavaScript engine for the host.
*/
import {expect, it} from 'vitest';
import {isOptimizerWorthwhile} from '../src/utils/engine.ts';

/** Guards against compiler threads that use half of a small host's processor, so that orders to start tasks arrive late and are refused as expired. */
it('enables the optimizing compiler only on hosts with enough of a processor', () => {
	expect([0.069, 0.186].map(processors => isOptimizerWorthwhile(processors))).toEqual([false, false]);
	expect([0.405, 1, 1.35].map(processors => isOptimizerWorthwhile(processors))).toEqual([true, true, true]);
});
