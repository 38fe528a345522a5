/**
Line format of call streams. Calls and responses are lines of text on a connection that was upgraded from HTTP: a call is
`number path json`, its response `number status json`.
*/
import {type Socket} from 'node:net';
import {StringDecoder} from 'node:string_decoder';

/** Protocol name in the `Upgrade` header. */
export const callStreamProtocol = 'chervilworks-calls';
/** Path of the upgrade request. */
export const callStreamPath = '/v1/calls';

/** The connection of a peer that sends a longer line is closed. */
const maxLineChars = 4_194_304;

/** Parsed line. */
export type CallLine = {
	number: number;
	/** Path of a call, or status of a response. */
	pathOrStatus: string;
	json: string;
};

/** Formats a call or a response as a line. */
export const formatLine = (number: number, pathOrStatus: string | number, json: unknown): string => `${number} ${pathOrStatus} ${JSON.stringify(json ?? {})}\n`;

/** Parses a line; undefined if it is malformed. */
export const parseLine = (line: string): CallLine | undefined => {
	const pathOrStatusStart = line.indexOf(' ') + 1;
	const jsonStart = line.indexOf(' ', pathOrStatusStart) + 1;
	const number = Number(line.slice(0, pathOrStatusStart));
	return pathOrStatusStart > 1 && jsonStart > pathOrStatusStart + 1 && Number.isSafeInteger(number)
		? {number, pathOrStatus: line.slice(pathOrStatusStart, jsonStart - 1), json: line.slice(jsonStart)}
		: undefined;
};

/** Reads lines until the connection closes; destroys it on a malformed or too long line. */
export const readLines = (socket: Socket, head: Buffer, onLine: (line: CallLine) => void): void => {
	// `setEncoding` cannot be used: it is not allowed on the sockets of an HTTP server.
	const decoder = new StringDecoder('utf8');
	let rest = '';
	const onData = (chunk: Buffer) => {
		rest += decoder.write(chunk);
		let start = 0;
		for (let end = rest.indexOf('\n'); end !== -1; end = rest.indexOf('\n', start)) {
			const line = parseLine(rest.slice(start, end));
			start = end + 1;
			if (!line) {
				socket.destroy();
				return;
			}

			onLine(line);
		}

		rest = rest.slice(start);
		if (rest.length > maxLineChars) {
			socket.destroy();
		}
	};

	socket.setNoDelay(true);
	socket.on('data', onData);
	// Ignored: `close` follows each error.
	socket.on('error', () => undefined);
	if (head.length > 0) {
		onData(head);
	}
};
