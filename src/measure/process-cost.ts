/**
Processor time and heap of this process, for measurements.
*/
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

let collect: (() => void) | undefined;

/** Bytes of live heap after a full collection. */
export const getHeapBytes = (): number => {
	if (!collect) {
		setFlagsFromString('--expose-gc');
		collect = runInNewContext('gc') as () => void;
	}

	collect();
	const {heapUsed, external} = process.memoryUsage();
	return heapUsed + external;
};

/** Processor time in microseconds that the action takes, all threads included. */
export const getCpuUs = async (action: () => Promise<unknown> | unknown): Promise<number> => {
	const before = process.cpuUsage();
	await action();
	const {user, system} = process.cpuUsage(before);
	return user + system;
};
