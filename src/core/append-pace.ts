/**
Shares the appends a second that the platform's log takes among the writers of all entries.
*/
import {ServiceName} from '../types/services.ts';
import {type Kernel} from './kernel.ts';

/** Streams of one entry that append as often as they may: claims and jobs. */
const writersPerEntry = 2;

/** Creates the pace of a writer: its least time between two appends, longer the more entries are alive. */
export const createAppendPace = (kernel: Kernel, leastMs: number): () => number => {
	const {appendsPerSecond} = kernel.get(ServiceName.Settings).log;
	return () => {
		const peers = kernel.has(ServiceName.Peers) ? kernel.get(ServiceName.Peers).list().filter(({isAlive}) => isAlive).length : 0;
		return getAppendPaceMs(peers + 1, appendsPerSecond, leastMs);
	};
};

/** Gets the least time between two appends of one writer. */
export const getAppendPaceMs = (entryCount: number, appendsPerSecond: number, leastMs: number): number =>
	Math.max(leastMs, entryCount * writersPerEntry * 1000 / appendsPerSecond);
