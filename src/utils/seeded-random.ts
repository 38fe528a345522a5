/**
Random numbers from a seed.
*/
import {randomInt} from 'node:crypto';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type Random} from '../types/random.ts';

const unit = 2 ** 32;

/** Creates a random source; without a seed it is seeded from the machine. */
export const createRandom = (seed = randomInt(2 ** 47)): Random => {
	// The generator takes a 32-bit seed.
	const generator = xoroshiro128plus(seed % unit);
	const next = () => (generator.next() >>> 0) / unit;
	const hex = () => Math.floor(next() * unit).toString(16).padStart(8, '0');
	return {
		next,
		below: limit => Math.floor(next() * limit),
		id: () => hex() + hex(),
	};
};
