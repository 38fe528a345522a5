/**
Computes how fast best-effort tasks may run beside serving tasks: as fast as keeps each serving task below its target, by
its estimated load and the load that each image adds. The most harmful image slows down first, and no more than needed.
*/
import {getLoadAt} from './serving-load.ts';

/** Load of a serving task without interference. */
export type ServingTask = {
	image: string;
	load: number;
};

/** Best-effort tasks of one image: the share of the worker's CPU that they use at full speed. */
export type FillDemand = {
	image: string;
	share: number;
};

/** Gets the load that the best-effort image would add to the serving image if it used all of a worker's CPU. */
export type GetEffect = (server: string, filler: string) => number;

/** Serving tasks are kept below this share of their target, because loads rise until the next report arrives. */
const aimRatio = 0.9;
const maxLoad = getLoadAt(aimRatio);
/** Images whose effect is below this are not slowed down. */
const negligibleEffect = 0.05;
/** Excess load that is not worth an order; well above rounding errors. */
const tolerance = 0.005;
/** A lower speed is replaced by 0. */
const minSpeed = 0.1;

/** Computes the speed of each demand, 0 to 1, in the order of `demands`. */
export const planSpeeds = (servers: ServingTask[], demands: FillDemand[], getEffect: GetEffect): number[] => {
	const speeds = demands.map(() => 1);
	const effects = demands.map(() => 0);
	for (const {image: server, load} of servers) {
		let excess = load - maxLoad;
		for (const [index, {image, share}] of demands.entries()) {
			const effect = getEffect(server, image);
			effects[index] = effect > negligibleEffect ? effect : 0;
			excess += share * effects[index] * speeds[index]!;
		}

		if (excess > tolerance) {
			slowDown(speeds, demands, {effects, excess});
		}
	}

	return speeds;
};

/** Lowers speeds until the excess load is gone, starting with the most harmful image. */
const slowDown = (speeds: number[], demands: FillDemand[], {effects, excess}: {effects: number[]; excess: number}): void => {
	let leftExcess = excess;
	const order = [...effects.keys()].filter(index => effects[index]! > 0).toSorted((a, b) => effects[b]! - effects[a]!);
	for (const index of order) {
		if (leftExcess <= tolerance) {
			return;
		}

		const full = demands[index]!.share * effects[index]!;
		const speed = speeds[index]!;
		const taken = Math.min(speed, leftExcess / full);
		const left = speed - taken < minSpeed ? 0 : speed - taken;
		leftExcess -= full * (speed - left);
		speeds[index] = left;
	}
};

/** Share of the CPU that the demands use at full speed. */
export const getAskedShare = (demands: FillDemand[]): number => {
	let sum = 0;
	for (const {share} of demands) {
		sum += share;
	}

	return sum;
};

/** Share of the CPU that the demands use at the given speeds. */
export const getWorkingShare = (demands: FillDemand[], speeds: number[]): number => {
	let sum = 0;
	for (const [index, {share}] of demands.entries()) {
		sum += share * speeds[index]!;
	}

	return sum;
};
