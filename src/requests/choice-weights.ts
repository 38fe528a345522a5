/**
Weights across failure domains, as the operators' text gives them.
*/
import {type UpstreamAnnouncement} from '../types/announcements.ts';
import {type Random} from '../types/random.ts';

/** Weight of each failure domain; one that is not named has none. */
export type FailureDomainWeights = ReadonlyMap<string, number>;

/** Parses `name:weight` pairs separated by commas. */
export const parseFailureDomainWeights = (value: string): FailureDomainWeights => {
	const weights = new Map<string, number>();
	for (const pair of value.split(',')) {
		const [name, weight] = pair.split(':');
		if (name?.trim() && weight !== undefined) {
			weights.set(name.trim(), Number(weight));
		}
	}

	return weights;
};

/** Creates a lookup of the weights in force; a text is parsed once, not for each request. */
export const createWeightsLookup = (getText: (serviceName: string) => string | undefined): (serviceName: string) => FailureDomainWeights | undefined => {
	const parsed = new Map<string, {text: string; weights: FailureDomainWeights}>();
	return serviceName => {
		const text = getText(serviceName);
		if (text === undefined) {
			parsed.delete(serviceName);
			return undefined;
		}

		let known = parsed.get(serviceName);
		if (known?.text !== text) {
			known = {text, weights: parseFailureDomainWeights(text)};
			parsed.set(serviceName, known);
		}

		return known.weights;
	};
};

/**
Draws a failure domain by weight among those with an upstream to offer; gets its upstreams. When no weighted domain has
one, all upstreams are offered: a request rather crosses to an unweighted domain than fails.
*/
export const drawFailureDomain = (candidates: UpstreamAnnouncement[], weights: FailureDomainWeights, random: Random): UpstreamAnnouncement[] => {
	const groups = new Map<string, UpstreamAnnouncement[]>();
	let total = 0;
	for (const candidate of candidates) {
		const {failureDomain} = candidate;
		const group = groups.get(failureDomain);
		if (group) {
			group.push(candidate);
		} else if ((weights.get(failureDomain) ?? 0) > 0) {
			groups.set(failureDomain, [candidate]);
			total += weights.get(failureDomain)!;
		}
	}

	let left = random.next() * total;
	for (const [failureDomain, group] of groups) {
		left -= weights.get(failureDomain)!;
		if (left < 0) {
			return group;
		}
	}

	return candidates;
};
