/**
Arithmetic on amounts of processors, memory and accelerators.
*/
import {type Resources} from '../types/platform.ts';

// Sums of fractions of processors have rounding errors far below one thousandth of a processor.
const tolerance = 1e-6;

/** Creates an amount of zero. */
export const createNoResources = (): Resources => ({processors: 0, memoryMb: 0, accelerators: 0});

/** Adds `times` times the amount to the target. */
export const addTo = (target: Resources, amount: Resources, times = 1): void => {
	target.processors += amount.processors * times;
	target.memoryMb += amount.memoryMb * times;
	target.accelerators += amount.accelerators * times;
};

/** Tells whether the amount is within the limit in every dimension. */
export const isWithin = (amount: Resources, limit: Resources): boolean =>
	amount.processors <= limit.processors + tolerance
	&& amount.memoryMb <= limit.memoryMb + tolerance
	&& amount.accelerators <= limit.accelerators + tolerance;

/** Gets the sum of two amounts. */
export const getSum = (a: Resources, b: Resources): Resources => ({
	processors: a.processors + b.processors, memoryMb: a.memoryMb + b.memoryMb, accelerators: a.accelerators + b.accelerators,
});

/** Gets the difference of two amounts. */
export const getDifference = (a: Resources, b: Resources): Resources => ({
	processors: a.processors - b.processors, memoryMb: a.memoryMb - b.memoryMb, accelerators: a.accelerators - b.accelerators,
});

const getRatio = (amount: number, total: number): number => total > 0 ? amount / total : (amount > tolerance ? Number.POSITIVE_INFINITY : 0);

/** Gets the amount's share of the total in the dimension where that is largest. */
export const getDominantShare = (amount: Resources, total: Resources): number => Math.max(
	getRatio(amount.processors, total.processors),
	getRatio(amount.memoryMb, total.memoryMb),
	getRatio(amount.accelerators, total.accelerators),
);

/** Counts how many times the amount fits into the free capacity. */
export const countFits = (amount: Resources, free: Resources): number => {
	let count = Number.MAX_SAFE_INTEGER;
	for (const key of ['processors', 'memoryMb', 'accelerators'] as const) {
		if (amount[key] > 0) {
			count = Math.min(count, Math.floor((free[key] + tolerance) / amount[key]));
		}
	}

	return Math.max(0, count);
};

/** Describes in which dimensions the amount exceeds the limit. */
export const describeExcess = (amount: Resources, limit: Resources): string => {
	const parts: string[] = [];
	if (amount.processors > limit.processors + tolerance) {
		parts.push(`${amount.processors} processors of ${limit.processors}`);
	}

	if (amount.memoryMb > limit.memoryMb + tolerance) {
		parts.push(`${amount.memoryMb} MB of memory of ${limit.memoryMb}`);
	}

	if (amount.accelerators > limit.accelerators + tolerance) {
		parts.push(`${amount.accelerators} accelerators of ${limit.accelerators}`);
	}

	return parts.join(', ');
};
