/**
Serves a stand-in worker over HTTP with JSON.
*/
import {type StartOrder, type AttemptRef} from '../types/platform.ts';
import {type Clock} from '../types/clock.ts';
import {createJsonServer, type JsonServer} from '../utils/http-server.ts';
import {type MemoryWorker} from './memory-worker.ts';

/** Creates a server for the worker; the code that creates it also binds and closes it. */
export const createWorkerServer = (worker: MemoryWorker, clock: Clock): JsonServer => {
	const server = createJsonServer(clock);
	const serve = <Body>(operation: string, handle: (body: Body) => Promise<unknown>) => {
		server.route('POST', `/v1/worker/${operation}`, async ({body}) => ({body: await handle(body as Body)}));
	};

	serve('start', async (order: StartOrder) => worker.start(order));
	serve('renew', async ({refs, leaseMs}: {refs: AttemptRef[]; leaseMs: number}) => worker.renew(refs, leaseMs));
	serve('stop', async ({ref, isCheckpoint}: {ref: AttemptRef; isCheckpoint: boolean}) => worker.stop(ref, {isCheckpoint}));
	serve('throttle', async ({ref, share}: {ref: AttemptRef; share: number}) => worker.throttle(ref, share));
	serve('forget', async ({refs}: {refs: AttemptRef[]}) => worker.forget(refs));
	serve('seal', async ({shard, fencingToken}: {shard: number; fencingToken: number}) => worker.seal(shard, fencingToken));
	serve('list', async () => worker.list());
	return server;
};
