/**
Headers that are passed on, in both directions, and those that are not.
*/
import {type IncomingHttpHeaders} from 'node:http';
import {Header} from '../types/requests.ts';

const hopByHop = new Set([
	'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade',
]);

/** Of a request: what belongs to one hop, and what this hop writes itself. */
const notPassedUp = new Set<string>([
	...hopByHop, 'host', 'expect', 'content-length', Header.DeadlineMs, Header.Attempt, Header.NoRetry,
]);

/** Of an answer: also what only an entry may say. */
const notPassedDown = new Set<string>([...hopByHop, Header.Entry, Header.Replayed]);

/** Gets the headers of a request that are passed to the upstream, as a flat list of names and values. */
export const getPassedUp = (rawHeaders: readonly string[], connection: string | undefined): string[] => {
	const named = getNamed(connection);
	const passed: string[] = [];
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		const name = rawHeaders[index]!.toLowerCase();
		if (!notPassedUp.has(name) && !named?.has(name)) {
			passed.push(name, rawHeaders[index + 1]!);
		}
	}

	return passed;
};

/** Gets the headers of an answer that are passed to the caller. */
export const getPassedDown = (headers: IncomingHttpHeaders): Record<string, string | string[]> => {
	const named = getNamed(headers.connection);
	const passed: Record<string, string | string[]> = {};
	for (const name in headers) {
		if (Object.hasOwn(headers, name) && !notPassedDown.has(name) && !named?.has(name)) {
			passed[name] = headers[name]!;
		}
	}

	return passed;
};

/** A sender may name more headers of its hop in `connection`. */
const getNamed = (connection: string | undefined): Set<string> | undefined => {
	if (connection === undefined || connection === 'keep-alive' || connection === 'close') {
		return undefined;
	}

	return new Set(connection.toLowerCase().split(',').map(name => name.trim()));
};

/** Tells whether an answer says where its body ends; one that ends with the connection can be cut short unseen. */
export const isFramed = (method: string, status: number, headers: IncomingHttpHeaders): boolean =>
	method === 'HEAD' || status === 204 || status === 304
	|| headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
