/**
Selects the headers that are forwarded, in both directions.
*/
import {type IncomingHttpHeaders} from 'node:http';
import {Header} from '../types/requests.ts';

const hopByHop = new Set([
	'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade',
]);

/** Not forwarded with a request: hop-by-hop headers, and those that this hop sets itself. */
const notForwardedUpstream = new Set<string>([
	...hopByHop, 'host', 'expect', 'content-length', Header.DeadlineMs, Header.Attempt, Header.NoRetry,
]);

/** Not forwarded with a response: hop-by-hop headers, and those that only an entry may set. */
const notForwardedToCaller = new Set<string>([...hopByHop, Header.Entry, Header.Replayed]);

/** Gets the headers of a request that are forwarded to the upstream, as a flat list of names and values. */
export const getForwardedRequestHeaders = (rawHeaders: readonly string[], connection: string | undefined): string[] => {
	const listed = getListedHopByHop(connection);
	const forwarded: string[] = [];
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		const name = rawHeaders[index]!.toLowerCase();
		if (!notForwardedUpstream.has(name) && !listed?.has(name)) {
			forwarded.push(name, rawHeaders[index + 1]!);
		}
	}

	return forwarded;
};

/** Gets the headers of a response that are forwarded to the caller. */
export const getForwardedResponseHeaders = (headers: IncomingHttpHeaders): Record<string, string | string[]> => {
	const listed = getListedHopByHop(headers.connection);
	const forwarded: Record<string, string | string[]> = {};
	for (const name in headers) {
		if (Object.hasOwn(headers, name) && !notForwardedToCaller.has(name) && !listed?.has(name)) {
			forwarded[name] = headers[name]!;
		}
	}

	return forwarded;
};

/** Gets the further hop-by-hop headers that the sender lists in `connection`. */
const getListedHopByHop = (connection: string | undefined): Set<string> | undefined => {
	if (connection === undefined || connection === 'keep-alive' || connection === 'close') {
		return undefined;
	}

	return new Set(connection.toLowerCase().split(',').map(name => name.trim()));
};

/** Tells whether a response declares where its body ends; one that ends with its connection can be truncated unnoticed. */
export const isFramed = (method: string, status: number, headers: IncomingHttpHeaders): boolean =>
	method === 'HEAD' || status === 204 || status === 304
	|| headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
