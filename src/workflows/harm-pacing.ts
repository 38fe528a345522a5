/**
How fast tasks that fill may work beside tasks that serve: as fast as keeps each serving task below its target, by what
is known of its load and of what each image adds to it. The most harmful image slows down first, and no more than needed.
*/
import {getLoadAt} from './serving-load.ts';

/** Load of a serving task by itself. */
export type ServingTask = {
	image: string;
	load: number;
};

/** Tasks of one image that want to fill: their share of the worker's processors at full speed. */
export type FillDemand = {
	image: string;
	share: number;
};

/** Load that a whole worker of the filling image adds to the server's. */
export type GetEffect = (server: string, filler: string) => number;

/** Serving tasks are kept below this share of their target: reports are late, and loads rise meanwhile. */
const aimRatio = 0.9;
const maxLoad = getLoadAt(aimRatio);
/** Images that add less than this for a whole worker are not worth slowing down. */
const negligibleEffect = 0.05;
/** Load that is not worth an order; what is left of sums of fractions is far less. */
const tolerance = 0.005;
/** Slower than this is as good as stopped. */
const minSpeed = 0.1;

/** Speed of each demand, 0 to 1, in their order. */
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

/** Takes the excess off, the most harmful image first. */
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

/** Processors' share that is asked for at full speed. */
export const getAskedShare = (demands: FillDemand[]): number => {
	let sum = 0;
	for (const {share} of demands) {
		sum += share;
	}

	return sum;
};

/** Processors' share at work under the speeds. */
export const getWorkingShare = (demands: FillDemand[], speeds: number[]): number => {
	let sum = 0;
	for (const [index, {share}] of demands.entries()) {
		sum += share * speeds[index]!;
	}

	return sum;
};
