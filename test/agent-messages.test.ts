/**
Messages between owners and agents of two versions.
*/
import {expect, it} from 'vitest';
import {serveAgent} from '../src/plugins/agent-messages.ts';
import {type WatchRequest} from '../src/types/fleet.ts';
import {type JsonServer} from '../src/utils/http-server.ts';
import {createWatchReply} from './site-fleet.ts';

type Handler = Parameters<JsonServer['route']>[2];

const state = createWatchReply();

/** Sends a watch request to an agent's server; returns what the agent got and the body of the answer. */
const watch = async (request: Record<string, unknown>) => {
	const routes = new Map<string, Handler>();
	const received: WatchRequest[] = [];
	serveAgent({
		route(_: string, path: string, handler: Handler) {
			routes.set(path, handler);
		},
	} as unknown as JsonServer, {
		async watch(watchRequest) {
			received.push(watchRequest);
			return state;
		},
		order: async () => ({answers: [], version: 1}),
	});
	const {body} = await routes.get('/v1/agent/watch')!({body: request, signal: new AbortController().signal} as Parameters<Handler>[0]);
	return {received, body};
};

/** Guards against an owner of the previous version that gets a state which it cannot read. */
it('sends rows only to an owner that accepts them', async () => {
	expect((await watch({epoch: 1})).body).toEqual(state);
	const {received, body} = await watch({epoch: 1, acceptsRows: true});
	expect(body).toMatchObject({rows: {running: [], ended: [], starting: []}});
	expect(received).toEqual([{epoch: 1, crashesStored: 0}]);
});
