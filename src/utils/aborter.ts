/**
Aborters that many tasks wait on: one for each peer and more.
*/
import {setMaxListeners} from 'node:events';

/** Creates an aborter without a bound on its listeners. */
export const createAborter = (): AbortController => {
	const aborter = new AbortController();
	setMaxListeners(0, aborter.signal);
	return aborter;
};
