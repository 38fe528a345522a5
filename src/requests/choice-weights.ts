/**
Weights that distribute requests across failure domains, parsed from the configuration text.
*/
import {type UpstreamAnnouncement} from '../types/announcements.ts';
import {type Random} from '../types/random.ts';

/** Weight by failure domain; a failure domain that is not named has weight 0. */
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

/** Creates a lookup of the current weights; each text is parsed once, not for each request. */
export const createWeightsLookup = (getText: (serviceName: string) => string | undefined): (serviceName: string) => FailureDomainWeights | undefined => {
	const parsed = new Map<string, {text: string; weights: FailureDomainWeights}>();
	return serviceName => {
		const text = getText(serviceName);
		if (text === undefined) {
			parsed.delete(serviceName);
			return undefined;
		}

		let cached = parsed.get(serviceName);
		if (cached?.text !== text) {
			cached = {text, weights: parseFailureDomainWeights(text)};
			parsed.set(serviceName, cached);
		}

		return cached.weights;
	};
};

/**
Draws a failure domain by weight among those with a candidate, and returns its candidates. If no domain with a weight has
one, returns all candidates: using an unweighted domain is better than failing the request.
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

	let remaining = random.next() * total;
	for (const [failureDomain, group] of groups) {
		remaining -= weights.get(failureDomain)!;
		if (remaining < 0) {
			return group;
		}
	}

	return candidates;
};
