/**
Arithmetic on amounts of processors, memory and accelerators.
*/
import {type Resources} from '../types/platform.ts';

// Fractions of processors add up with rounding errors far below one thousandth of a processor.
const slack = 1e-6;

/** Creates an empty amount. */
export const createNone = (): Resources => ({processors: 0, memoryMb: 0, accelerators: 0});

/** Adds the amount to the target, so many times. */
export const addTo = (target: Resources, amount: Resources, times = 1): void => {
	target.processors += amount.processors * times;
	target.memoryMb += amount.memoryMb * times;
	target.accelerators += amount.accelerators * times;
};

/** Tells whether the amount is within the limit in every dimension. */
export const isWithin = (amount: Resources, limit: Resources): boolean =>
	amount.processors <= limit.processors + slack
	&& amount.memoryMb <= limit.memoryMb + slack
	&& amount.accelerators <= limit.accelerators + slack;

/** Gets the sum of two amounts. */
export const getSum = (a: Resources, b: Resources): Resources => ({
	processors: a.processors + b.processors, memoryMb: a.memoryMb + b.memoryMb, accelerators: a.accelerators + b.accelerators,
});

/** Gets the difference of two amounts. */
export const getDifference = (a: Resources, b: Resources): Resources => ({
	processors: a.processors - b.processors, memoryMb: a.memoryMb - b.memoryMb, accelerators: a.accelerators - b.accelerators,
});

const getRatio = (amount: number, total: number): number => total > 0 ? amount / total : (amount > slack ? Number.POSITIVE_INFINITY : 0);

/** Gets the largest share of the total over all dimensions. */
export const getDominantShare = (amount: Resources, total: Resources): number => Math.max(
	getRatio(amount.processors, total.processors),
	getRatio(amount.memoryMb, total.memoryMb),
	getRatio(amount.accelerators, total.accelerators),
);

/** Counts how many times the amount fits into the room. */
export const countFits = (amount: Resources, room: Resources): number => {
	let count = Number.MAX_SAFE_INTEGER;
	for (const key of ['processors', 'memoryMb', 'accelerators'] as const) {
		if (amount[key] > 0) {
			count = Math.min(count, Math.floor((room[key] + slack) / amount[key]));
		}
	}

	return Math.max(0, count);
};

/** Says in which dimensions the amount exceeds the limit. */
export const describeExcess = (amount: Resources, limit: Resources): string => {
	const parts: string[] = [];
	if (amount.processors > limit.processors + slack) {
		parts.push(`${amount.processors} processors of ${limit.processors}`);
	}

	if (amount.memoryMb > limit.memoryMb + slack) {
		parts.push(`${amount.memoryMb} MB of memory of ${limit.memoryMb}`);
	}

	if (amount.accelerators > limit.accelerators + slack) {
		parts.push(`${amount.accelerators} accelerators of ${limit.accelerators}`);
	}

	return parts.join(', ');
};
