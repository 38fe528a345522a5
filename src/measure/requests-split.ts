/**
The split of each class's flow across failure domains that is best on average, solved for the whole flow and not for
each request, after Cardellini et al., "A Framework for Optimal Service Selection in Broker-based Architectures with
Multiple QoS Classes". A candidate for weights across failure domains.
*/
import {type FailureDomainWeights} from '../requests/choice-weights.ts';
import {type UpstreamAnnouncement} from '../types/announcements.ts';
import {RequestClass} from '../types/requests.ts';
import {type Condition} from './requests-conditions.ts';
import {classLoads, getCapacityPerS, type Site} from './requests-sites.ts';

/** What the split is solved for. */
export type SplitProblem = {
	site: Site;
	condition: Condition;
	/** Failure domain of the entry whose flow is split. */
	failureDomain: string;
	upstreams: readonly UpstreamAnnouncement[];
};

/** Parts into which the flow of a class is divided. */
const quantumCount = 200;
/** Cost of a domain that would be full. */
const fullCost = 1e9;

type Domain = {
	name: string;
	slots: number;
	roundTripMs: number;
	/** Slots kept busy so far. */
	busy: number;
	parts: Record<RequestClass, number>;
};

/** Solves the split by assigning each small part of the flows to the failure domain where it adds least to the mean latency. */
export const solveSplit = ({site, condition, failureDomain, upstreams}: SplitProblem): Record<RequestClass, FailureDomainWeights> => {
	const domains = createDomains(site, failureDomain, upstreams);
	const ratePerMs = condition.load * getCapacityPerS(site) / 1000 / site.entryCount;
	for (let quantum = 0; quantum < quantumCount; quantum++) {
		for (const requestClass of [RequestClass.Long, RequestClass.Check]) {
			const {share, meanMs} = classLoads[requestClass];
			const busy = ratePerMs * share * meanMs / quantumCount;
			const best = domains.reduce((least, domain) => getAddedCost(domain, busy, share) < getAddedCost(least, busy, share) ? domain : least);
			best.busy += busy;
			best.parts[requestClass]++;
		}
	}

	const getWeights = (requestClass: RequestClass) => new Map(domains.map(({name, parts}) => [name, parts[requestClass]]));
	return {[RequestClass.Check]: getWeights(RequestClass.Check), [RequestClass.Long]: getWeights(RequestClass.Long)};
};

const createDomains = (site: Site, failureDomain: string, upstreams: readonly UpstreamAnnouncement[]): Domain[] =>
	site.failureDomains.map(name => ({
		name,
		slots: upstreams.filter(upstream => upstream.failureDomain === name).length * site.slots / site.entryCount,
		roundTripMs: 2 * (name === failureDomain ? site.withinDomainMs : site.betweenDomainsMs),
		busy: 0,
		parts: {[RequestClass.Check]: 0, [RequestClass.Long]: 0},
	})).filter(({slots}) => slots > 0);

/** Mean latency that one more part adds to the whole flow: its own round trip, and the additional queueing in the failure domain. */
const getAddedCost = ({slots, busy, roundTripMs}: Domain, added: number, share: number): number => {
	const getQueueCost = (load: number) => load < slots ? load / (1 - (load / slots)) : fullCost * load;
	return (share * roundTripMs / quantumCount) + (getQueueCost(busy + added) - getQueueCost(busy));
};
