/**
Finds the queue for a caller's request.
*/
import {type QueueConfig} from '../types/site.ts';

/** Gets the queue of the host with the longest prefix of the path. */
export const findQueue = (queues: QueueConfig[], host: string, path: string): QueueConfig | undefined => {
	let found: QueueConfig | undefined;
	for (const queue of queues) {
		if (queue.host === host && path.startsWith(queue.pathPrefix) && queue.pathPrefix.length > (found?.pathPrefix.length ?? -1)) {
			found = queue;
		}
	}

	return found;
};
