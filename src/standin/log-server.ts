/**
Serves the stand-in log over HTTP with JSON.
*/
import {z} from 'zod';
import {type Clock} from '../types/clock.ts';
import {Stream} from '../types/platform.ts';
import {createJsonServer, type JsonServer} from '../utils/http-server.ts';
import {createParser} from '../utils/parser.ts';
import {type MemoryLog} from './memory-log.ts';

const parseStream = createParser('read stream name', z.enum(Stream));
const parseAppend = createParser('read append', z.object({value: z.unknown()}));
const parseFaults = createParser('read faults', z.object({
	isDown: z.boolean(),
	delayMs: z.number().min(0),
	loseAnswerChance: z.number().min(0).max(1),
	failChance: z.number().min(0).max(1),
}).partial());

/** Creates a server for the log; the code that creates it also binds and closes it. */
export const createLogServer = (log: MemoryLog, clock: Clock): JsonServer => {
	const server = createJsonServer(clock);
	server.route('POST', '/streams/:stream/records', async ({params, body}) => {
		const offset = await log.append(parseStream(params.stream), parseAppend(body).value);
		return {body: {offset}};
	});
	server.route('GET', '/streams/:stream/records', async ({params, query, signal}) => ({
		body: await log.read(parseStream(params.stream), Number(query.get('from') ?? 0), {
			limit: Number(query.get('limit') ?? 1000), waitMs: Number(query.get('waitMs') ?? 0), signal,
		}),
	}));
	server.route('POST', '/faults', ({body}) => {
		Object.assign(log.faults, parseFaults(body));
		return {body: log.faults};
	});
	server.route('GET', '/healthz', () => ({body: {isAlive: true, appends: log.appends}}));
	return server;
};
