/**
Answers that come together, and who else wants the thread meanwhile.
*/
import {createServer, type ServerResponse} from 'node:http';
import {afterEach, expect, it} from 'vitest';
import {createHttpClient, type HttpClient} from '../src/utils/http-calls.ts';
import {close, listen} from '../src/utils/http-server.ts';

const peerCount = 30;
/** As on the host of the story. */
const answerWorkMs = 12;

const work = (durationMs: number): void => {
	const endMs = performance.now() + durationMs;
	while (performance.now() < endMs) {
		// Keeps the thread.
	}
};

const held: ServerResponse[] = [];
const server = createServer((_, response) => {
	held.push(response);
	if (held.length === peerCount) {
		for (const each of held) {
			each.end('{}');
		}
	}
});
let client: HttpClient;

afterEach(async () => {
	client.close();
	await close(server);
});

/**
Callers of the entry that owned got no answer before their deadline (46 of 66), though the entry's log shows answers within
5 ms. Figures of its event loop: 4 turns a second with 23 events each, and just as many connections accepted as turns (7 and
7, 12 and 12, 15 and 15 in two seconds). Each turn ran all that followed from the answers of fifteen agents. What waited in
front was answered within two seconds, too late, once the entry had stopped owning.
*/
it('handles answers of peers in turns of the event loop where each takes its time', async () => {
	const address = await listen(server, '127.0.0.1:0');
	client = createHttpClient(peerCount);
	let turn = 0;
	let isOver = false;
	const count = () => {
		turn++;
		if (!isOver) {
			setImmediate(count);
		}
	};

	count();
	const turns = await Promise.all(Array.from({length: peerCount}, async () => {
		await client.call({
			address, method: 'GET', path: '/', timeoutMs: 10_000, step: 'ask',
		});
		const ownTurn = turn;
		work(answerWorkMs);
		return ownTurn;
	}));
	isOver = true;
	expect(new Set(turns).size).toBe(peerCount);
});
