/**
The processors that best-effort tasks could use in a simulation if all interference and loads were known: beside the
latency-critical tasks where they stand, and after these were put together by image.
*/
import {maxLoad} from '../workflows/interference-throttling.ts';

/** A latency-critical task at a moment. */
export type PlacedService = {image: string; step: string; load: number; milliCpu: number; maxPerWorker: number};

/** One worker at a moment. */
export type OracleWorker = {milliCpu: number; services: PlacedService[]};

/** Workers, the CPU that open best-effort tasks request by image, and true effects. */
export type CapacityInput = {
	workers: OracleWorker[];
	demandMilliCpu: Map<string, number>;
	getEffect: (latencyCriticalImage: string, bestEffortImage: string) => number;
};

const minCost = 1e-6;

/** Gets the processors that can be filled without a latency-critical task over 0.9 of its target: cheapest pairs of worker and image first. */
export const getUsableCores = ({workers, demandMilliCpu, getEffect}: CapacityInput): number => {
	const capacities = workers.map(({milliCpu, services}) => {
		let freeMilliCpu = milliCpu;
		for (const service of services) {
			freeMilliCpu -= service.milliCpu * service.load;
		}

		return {milliCpu, freeMilliCpu: Math.max(0, freeMilliCpu), slacks: services.map(({image, load}) => ({image, slack: maxLoad - load}))};
	});
	const left = new Map(demandMilliCpu);
	const pairs = capacities.flatMap(capacity => [...left.keys()].map(image => ({
		capacity, image, cost: Math.max(0, ...capacity.slacks.map(({image: service, slack}) => {
			const effect = getEffect(service, image);
			return effect === 0 ? 0 : effect / Math.max(minCost, slack);
		})),
	})));
	let filledMilliCpu = 0;
	for (const {capacity, image} of pairs.toSorted((a, b) => a.cost - b.cost)) {
		let usable = Math.min(capacity.freeMilliCpu, left.get(image)!);
		for (const {image: service, slack} of capacity.slacks) {
			const effect = getEffect(service, image);
			usable = effect === 0 ? usable : Math.min(usable, Math.max(0, slack) / effect * capacity.milliCpu);
		}

		capacity.freeMilliCpu -= usable;
		left.set(image, left.get(image)! - usable);
		filledMilliCpu += usable;
		for (const entry of capacity.slacks) {
			entry.slack -= getEffect(entry.image, image) * usable / capacity.milliCpu;
		}
	}

	return filledMilliCpu / 1000;
};

/** Puts the latency-critical tasks together by image, in whatever order their steps' limits allow. */
export const repackByImage = (workers: OracleWorker[]): OracleWorker[] => {
	const packed = workers.map(({milliCpu}): OracleWorker => ({milliCpu, services: []}));
	const reserved = packed.map(() => 0);
	const services = workers.flatMap(worker => worker.services).toSorted((a, b) => a.image.localeCompare(b.image) || b.milliCpu - a.milliCpu);
	for (const service of services) {
		let best = -1;
		let bestCost = Number.POSITIVE_INFINITY;
		for (const [index, worker] of packed.entries()) {
			const sameStep = worker.services.filter(({step}) => step === service.step).length;
			if (reserved[index]! + service.milliCpu > worker.milliCpu || (service.maxPerWorker > 0 && sameStep >= service.maxPerWorker)) {
				continue;
			}

			const others = new Set(worker.services.filter(({image}) => image !== service.image).map(({image}) => image)).size;
			const cost = (3 * others) - (worker.services.length > 0 ? 2 : 0) - (reserved[index]! / worker.milliCpu);
			if (cost < bestCost) {
				best = index;
				bestCost = cost;
			}
		}

		// Where fragments are too small, the task goes to the worker with most left.
		const target = best === -1 ? reserved.indexOf(Math.min(...reserved)) : best;
		packed[target]!.services.push(service);
		reserved[target]! += service.milliCpu;
	}

	return packed;
};
