/**
Computes how fast best-effort tasks may run beside latency-critical tasks: as fast as keeps each latency-critical task below
its target, by its estimated load and the load that each image adds. The image with the largest effect slows down first,
and no more than needed.
*/
import {getLoadAt} from './latency-critical-load.ts';

/** Load of a latency-critical task without interference. */
export type LatencyCriticalLoad = {
	image: string;
	load: number;
};

/** Best-effort tasks of one image: the share of the worker's CPU that they use at full speed. */
export type BestEffortDemand = {
	image: string;
	share: number;
};

/** Gets the load that the best-effort image would add to the latency-critical image if it used all of a worker's CPU. */
export type GetEffect = (latencyCriticalImage: string, bestEffortImage: string) => number;

/** Latency-critical tasks are kept below this share of their target, because loads rise until the next report arrives. */
const targetRatio = 0.9;
/** Load at that share. */
export const maxLoad = getLoadAt(targetRatio);
/** Images whose effect is below this are not slowed down. */
const negligibleEffect = 0.05;
/** Excess load that is not worth an order; well above rounding errors. */
const minExcess = 0.005;
/** A lower speed is replaced by 0. */
const minSpeed = 0.1;

/** Computes the speed of each demand, 0 to 1, in the order of `demands`. */
export const planSpeeds = (latencyCriticalLoads: LatencyCriticalLoad[], demands: BestEffortDemand[], getEffect: GetEffect): number[] => {
	const speeds = demands.map(() => 1);
	const effects = demands.map(() => 0);
	for (const {image: latencyCriticalImage, load} of latencyCriticalLoads) {
		let excess = load - maxLoad;
		for (const [index, {image, share}] of demands.entries()) {
			const effect = getEffect(latencyCriticalImage, image);
			effects[index] = effect > negligibleEffect ? effect : 0;
			excess += share * effects[index] * speeds[index]!;
		}

		if (excess > minExcess) {
			slowDown(speeds, demands, {effects, excess});
		}
	}

	return speeds;
};

/** Lowers speeds until the excess load is gone, starting with the image of the largest effect. */
const slowDown = (speeds: number[], demands: BestEffortDemand[], {effects, excess}: {effects: number[]; excess: number}): void => {
	let remainingExcess = excess;
	const order = [...effects.keys()].filter(index => effects[index]! > 0).toSorted((a, b) => effects[b]! - effects[a]!);
	for (const index of order) {
		if (remainingExcess <= minExcess) {
			return;
		}

		const fullSpeedLoad = demands[index]!.share * effects[index]!;
		const speed = speeds[index]!;
		const reduction = Math.min(speed, remainingExcess / fullSpeedLoad);
		const newSpeed = speed - reduction < minSpeed ? 0 : speed - reduction;
		remainingExcess -= fullSpeedLoad * (speed - newSpeed);
		speeds[index] = newSpeed;
	}
};

/** Share of the CPU that the demands use at full speed. */
export const getRequestedShare = (demands: BestEffortDemand[]): number => {
	let sum = 0;
	for (const {share} of demands) {
		sum += share;
	}

	return sum;
};

/** Share of the CPU that the demands use at the given speeds. */
export const getShareAtSpeeds = (demands: BestEffortDemand[], speeds: number[]): number => {
	let sum = 0;
	for (const [index, {share}] of demands.entries()) {
		sum += share * speeds[index]!;
	}

	return sum;
};
