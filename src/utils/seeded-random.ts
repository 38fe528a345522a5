/**
Pseudo-random numbers from a seed.
*/
import {randomInt} from 'node:crypto';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type Random} from '../types/random.ts';

const range = 2 ** 32;

/** Creates a random source; the default seed is random. */
export const createRandom = (seed = randomInt(2 ** 47)): Random => {
	// The generator takes a 32-bit seed.
	const generator = xoroshiro128plus(seed % range);
	const next = () => (generator.next() >>> 0) / range;
	const hex = () => Math.floor(next() * range).toString(16).padStart(8, '0');
	return {
		next,
		below: limit => Math.floor(next() * limit),
		id: () => hex() + hex(),
	};
};
