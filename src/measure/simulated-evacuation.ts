/**
Evacuation of a failure domain in a simulated load, after which its hosts may be lost for good.
*/
import {type InterferenceWorker} from '../standin/interference-worker.ts';
import {type Evacuations} from '../types/site.ts';

/** Evacuation of one of three failure domains. */
export type SimulatedEvacuation = {
	fromS: number;
	toS: number;
	/** Whether its hosts are lost for good at the end. */
	isLostAfter: boolean;
};

const failureDomains = 3;
const secondMs = 1000;

/** Gets the failure domain of a worker by its index. */
export const getFailureDomain = (index: number): string => `hall-${index % failureDomains}`;

/** Gets the evacuations at a time of the load, and loses the hosts of the domain at the end if they are to be lost. */
export const updateEvacuation = (
	{workers, agents}: {workers: Map<string, InterferenceWorker>; agents: Map<string, {aborter: AbortController}>},
	evacuation: SimulatedEvacuation | undefined,
	elapsedMs: number,
): Evacuations => {
	if (!evacuation || elapsedMs < evacuation.fromS * secondMs) {
		return {asOf: 0, failureDomains: []};
	}

	const {toS, isLostAfter} = evacuation;
	if (elapsedMs < toS * secondMs) {
		return {asOf: 1, failureDomains: [getFailureDomain(0)]};
	}

	for (const [index, [host, worker]] of [...workers].entries()) {
		const {aborter} = agents.get(host)!;
		if (isLostAfter && getFailureDomain(index) === getFailureDomain(0) && !aborter.signal.aborted) {
			worker.crash();
			aborter.abort();
		}
	}

	return {asOf: 2, failureDomains: isLostAfter ? [getFailureDomain(0)] : []};
};
