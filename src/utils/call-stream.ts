/**
What both ends of a call stream share: calls and answers as lines of text on one connection that was upgraded from HTTP. A
call is `number path json`, its answer `number status json`.
*/
import {type Socket} from 'node:net';
import {StringDecoder} from 'node:string_decoder';

/** Name of the protocol in the upgrade. */
export const callStreamProtocol = 'chervilworks-calls';
/** Path of the upgrade. */
export const callStreamPath = '/v1/calls';

/** Ends the connection of a peer that sends a longer line. */
const maxLineChars = 4_194_304;

/** One line in its parts. */
export type CallLine = {
	number: number;
	/** Path of a call, or status of an answer. */
	word: string;
	json: string;
};

/** Formats a call or an answer. */
export const formatLine = (number: number, word: string | number, json: unknown): string => `${number} ${word} ${JSON.stringify(json ?? {})}\n`;

/** Takes a line apart; undefined if it is none. */
export const parseLine = (line: string): CallLine | undefined => {
	const wordStart = line.indexOf(' ') + 1;
	const jsonStart = line.indexOf(' ', wordStart) + 1;
	const number = Number(line.slice(0, wordStart));
	return wordStart > 1 && jsonStart > wordStart + 1 && Number.isSafeInteger(number)
		? {number, word: line.slice(wordStart, jsonStart - 1), json: line.slice(jsonStart)}
		: undefined;
};

/** Reads lines until the connection closes; destroys it for anything else. */
export const readLines = (socket: Socket, head: Buffer, onLine: (line: CallLine) => void): void => {
	// A server's sockets take no encoding.
	const decoder = new StringDecoder('utf8');
	let rest = '';
	const take = (chunk: Buffer) => {
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
	socket.on('data', take);
	// Also after an error the connection closes.
	socket.on('error', () => undefined);
	if (head.length > 0) {
		take(head);
	}
};
