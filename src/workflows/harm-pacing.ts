/**
How fast tasks that fill may work beside tasks that serve. Harm shows only as the tail latency of the serving tasks, half
a second late, and differs from pair to pair; so the pace of each image follows what is measured and what was learned.
*/
import {type Filler, type Server} from './fill-harm.ts';

/** Effect of one processor of an image on a serving image. */
export type GetEffect = (server: string, filler: string) => number;

/**
Above this share of the target the pace goes down: a wave of load crosses the rest within a few hundred ms. With 1 in its
place calm days were worth 0.86 and 0.51 in place of 0.90 and 0.61 (Clydeside, Jalsahayata; one run each).
*/
const lowerAboveRatio = 0.9;
/** What is aimed at when pacing down, and not passed when pacing up. */
const aimRatio = 0.75;
/** Far above the target there is no time to find out which image it is: all that may be the cause stop. */
const stopAboveRatio = 1.6;
/** A pace shows in the tail after the worker took it up (0.1 s) and half a second was measured. */
const settleMs = 600;
/** Slower than this is as good as stopped, and disturbs all the same. */
const minPercent = 10;
/** Less than this is not worth the harm: a task that may get no more is better moved. */
const minRaisePercent = 25;
/** An image with less effect for each processor is not the cause of a tail far above the target. */
const harmlessEffect = 0.03;
/** Least effect that is assumed of an image beside a tail that is too long. */
const minEffect = 0.02;

/** Decides the pace of each image on one worker; images that keep theirs are left out. */
export const decidePaces = (servers: Server[], fillers: Filler[], getEffect: GetEffect): Map<string, number> => {
	const worst = servers.toSorted((a, b) => b.ratio - a.ratio).at(0);
	if (!worst) {
		return new Map(fillers.filter(({percent}) => percent < 100).map(({image}) => [image, 100]));
	}

	if (worst.ratio > stopAboveRatio) {
		return stop(worst, fillers, getEffect);
	}

	if (worst.ratio > lowerAboveRatio) {
		return lower(worst, fillers, getEffect);
	}

	return raise(servers, fillers, getEffect);
};

const stop = (worst: Server, fillers: Filler[], getEffect: GetEffect): Map<string, number> => {
	const suspects = fillers.filter(({image, percent}) => percent > 0 && getEffect(worst.image, image) > harmlessEffect);
	const settled = (suspects.length > 0 ? suspects : fillers).filter(({percent, sinceChangeMs}) => percent > 0 && (percent === 100 || sinceChangeMs >= settleMs));
	return new Map(settled.map(({image}) => [image, 0]));
};

/** Takes speed from the images with the largest part in the tail, until what is foreseen is below the aim. */
const lower = (worst: Server, fillers: Filler[], getEffect: GetEffect): Map<string, number> => {
	const paces = new Map<string, number>();
	const parts = fillers
		.filter(({percent, sinceChangeMs}) => percent > 0 && sinceChangeMs >= settleMs)
		.map(filler => ({filler, part: Math.max(minEffect, getEffect(worst.image, filler.image)) * filler.cores * filler.percent / 100}))
		.toSorted((a, b) => b.part - a.part);
	let excess = worst.ratio - aimRatio;
	for (const {filler: {image, percent}, part} of parts) {
		if (excess <= 0) {
			break;
		}

		const kept = Math.floor(percent * Math.max(0, 1 - (excess / part)));
		paces.set(image, kept < minPercent ? 0 : kept);
		excess -= part;
	}

	return paces;
};

/**
Gives speed back to the least harmful image that all serving tasks can bear, as much as they can bear at once: what was
stopped for another image's sake should not stand still for seconds.
*/
const raise = (servers: Server[], fillers: Filler[], getEffect: GetEffect): Map<string, number> => {
	const getWorstEffect = (image: string) => Math.max(...servers.map(server => getEffect(server.image, image)));
	const slowed = fillers
		.filter(({percent, sinceChangeMs}) => percent < 100 && sinceChangeMs >= settleMs)
		.toSorted((a, b) => getWorstEffect(a.image) - getWorstEffect(b.image));
	for (const {image, cores, percent} of slowed) {
		const borne = Math.min(...servers.map(server => (aimRatio - server.ratio) / (Math.max(minEffect, getEffect(server.image, image)) * cores)));
		const next = Math.min(100, Math.floor(percent + (100 * borne)));
		if (next >= percent + minRaisePercent || next === 100) {
			return new Map([[image, next]]);
		}
	}

	return new Map();
};
