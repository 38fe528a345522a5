/**
Divides the platform log's append rate evenly among the writers of all alive entries.
*/
import {ServiceName} from '../types/services.ts';
import {type Kernel} from './kernel.ts';

/** Writers of one entry that append at the highest rate allowed: claims and jobs. */
const writersPerEntry = 2;

/** Creates a function that returns a writer's minimum time between two appends; it grows with the number of alive entries. */
export const createAppendInterval = (kernel: Kernel, minIntervalMs: number): () => number => {
	const {appendsPerSecond} = kernel.get(ServiceName.Settings).log;
	return () => {
		const otherEntries = kernel.has(ServiceName.Peers) ? kernel.get(ServiceName.Peers).list().filter(({isAlive}) => isAlive).length : 0;
		return getAppendIntervalMs(otherEntries + 1, appendsPerSecond, minIntervalMs);
	};
};

/** Gets the minimum time in ms between two appends of one writer. */
export const getAppendIntervalMs = (entryCount: number, appendsPerSecond: number, minIntervalMs: number): number =>
	Math.max(minIntervalMs, entryCount * writersPerEntry * 1000 / appendsPerSecond);
