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

/**
Serving tasks are kept below this share of their target. Reports are half a second late, and a wave raises a load of 0.72
to 0.8 meanwhile.
*/
const aimRatio = 0.8;
const maxLoad = getLoadAt(aimRatio);
/** Images that add less than this for a whole worker are not worth slowing down. */
const negligibleEffect = 0.05;
/** Load that is not worth an order; what is left of sums of fractions is far less. */
const tolerance = 0.005;
/** Slower than this is as good as stopped. */
const minSpeed = 0.1;

/** Speed of each image, 0 to 1. */
export const planSpeeds = (servers: ServingTask[], demands: FillDemand[], getEffect: GetEffect): Map<string, number> => {
	const speeds = new Map(demands.map(({image}) => [image, 1]));
	for (const {image: server, load} of servers) {
		const parts = demands
			.map(({image, share}) => ({image, full: share * getEffect(server, image), effect: getEffect(server, image)}))
			.filter(({effect}) => effect > negligibleEffect)
			.toSorted((a, b) => b.effect - a.effect);
		let excess = load - maxLoad;
		for (const {image, full} of parts) {
			excess += full * speeds.get(image)!;
		}

		for (const {image, full} of parts) {
			if (excess <= tolerance) {
				break;
			}

			const speed = speeds.get(image)!;
			const taken = Math.min(speed, excess / full);
			const left = speed - taken < minSpeed ? 0 : speed - taken;
			excess -= full * (speed - left);
			speeds.set(image, left);
		}
	}

	return speeds;
};

/** Processors' share at work under the speeds. */
export const getWorkingShare = (demands: FillDemand[], speeds: Map<string, number>): number => {
	let sum = 0;
	for (const {image, share} of demands) {
		sum += share * (speeds.get(image) ?? 1);
	}

	return sum;
};
