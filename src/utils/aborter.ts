/**
Abort controllers with many listeners, such as one for each peer.
*/
import {setMaxListeners} from 'node:events';

/** Creates an abort controller whose signal does not warn about many listeners. */
export const createAborter = (): AbortController => {
	const aborter = new AbortController();
	setMaxListeners(0, aborter.signal);
	return aborter;
};
