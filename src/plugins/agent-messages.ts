/**
Calls between an owner and its agents: JSON on a call stream. An agent has only a third of a core, and loading a protocol
library at start would cost more than all calls of a minute.
*/
import {createError, ErrorCode} from '../core/errors.ts';
import {type Agent} from '../agents/agent.ts';
import {decodeWatchReply, encodeWatchReply, type WatchReplyRows} from '../agents/agent-state-rows.ts';
import {
	type OrdersReply, type OrdersRequest, type WatchReply, type WatchRequest,
} from '../types/fleet.ts';
import {type StreamClient} from '../utils/call-stream-client.ts';
import {type JsonServer} from '../utils/http-server.ts';
import {type AgentClient} from '../workflows/agent-links.ts';

/** A message in which the field is absent if a process of the previous version sent it. */
type FromOlderVersion<Message, Key extends keyof Message> = Omit<Message, Key> & Partial<Pick<Message, Key>>;

const watchPath = '/v1/agent/watch';
const ordersPath = '/v1/agent/orders';

/** Creates the owner's client. */
export const createAgentClient = (streams: StreamClient): AgentClient => {
	const post = async (address: string, path: string, json: unknown, {timeoutMs, signal}: {timeoutMs: number; signal?: AbortSignal}): Promise<unknown> => {
		const answer = await streams.call({
			address, path, json, timeoutMs, signal, step: `call agent ${path}`,
		});
		if (answer.status !== 200) {
			throw createError(ErrorCode.PeerUnavailable, {step: `call agent ${path}`, peer: address, detail: `status ${answer.status}`});
		}

		return answer.json;
	};

	return {
		async watch(address, request, timeoutMs, signal) {
			const reply = await post(address, watchPath, {...request, acceptsRows: true}, {timeoutMs, signal}) as FromOlderVersion<WatchReply | WatchReplyRows, 'crashed'>;
			return decodeWatchReply({...reply, crashed: reply.crashed ?? []} as WatchReply | WatchReplyRows);
		},
		order: async (address, request, timeoutMs) => await post(address, ordersPath, request, {timeoutMs}) as OrdersReply,
	};
};

/** Adds the agent's routes to a server. */
export const serveAgent = (server: JsonServer, agent: Pick<Agent, 'watch' | 'order'>): void => {
	server.route('POST', watchPath, async ({body, signal}) => {
		const {acceptsRows, ...request} = body as FromOlderVersion<WatchRequest, 'crashesStored'> & {acceptsRows?: boolean};
		const reply = await agent.watch({...request, crashesStored: request.crashesStored ?? 0}, signal);
		return {body: acceptsRows ? encodeWatchReply(reply) : reply};
	});
	server.route('POST', ordersPath, async ({body}) => ({body: await agent.order(body as OrdersRequest)}));
};
