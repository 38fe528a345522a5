/**
Handling of many responses that arrive at once, beside other work on the thread.
*/
import {createServer, type ServerResponse} from 'node:http';
import {afterEach, expect, it} from 'vitest';
import {createHttpClient, type HttpClient} from '../src/utils/keep-alive-client.ts';
import {close, listen} from '../src/utils/http-server.ts';

const peerCount = 30;
/** Time to handle one response, as on the host where the fault was seen. */
const answerWorkMs = 12;

const blockThread = (durationMs: number): void => {
	const endMs = performance.now() + durationMs;
	while (performance.now() < endMs) {
		// Blocks the thread.
	}
};

const heldResponses: ServerResponse[] = [];
const server = createServer((_, response) => {
	heldResponses.push(response);
	if (heldResponses.length === peerCount) {
		for (const heldResponse of heldResponses) {
			heldResponse.end('{}');
		}
	}
});
let client: HttpClient;

afterEach(async () => {
	client.close();
	await close(server);
});

/**
Guards against an owner that accepts new connections too slowly. 46 of 66 callers of an owner got no response before their deadline,
although it answered each request within 5 ms. Its event loop made 4 turns a second with 23 events each and accepted one connection
in each turn (7 turns and 7 connections, 12 and 12, 15 and 15 in two seconds), because each turn ran all work that followed from the
responses of fifteen agents. Waiting connections were answered within two seconds, too late, after the entry had stopped being the
owner.
*/
it('handles each response of a peer in its own turn of the event loop if handling takes long', async () => {
	const address = await listen(server, '127.0.0.1:0');
	client = createHttpClient(peerCount);
	let turn = 0;
	let isFinished = false;
	const countTurn = () => {
		turn++;
		if (!isFinished) {
			setImmediate(countTurn);
		}
	};

	countTurn();
	const turns = await Promise.all(Array.from({length: peerCount}, async () => {
		await client.call({
			address, method: 'GET', path: '/', timeoutMs: 10_000, step: 'ask',
		});
		const ownTurn = turn;
		blockThread(answerWorkMs);
		return ownTurn;
	}));
	isFinished = true;
	expect(new Set(turns).size).toBe(peerCount);
});
