/**
Serves the stand-in store over HTTP in the platform's format, so that measurements and soak runs can run real processes against it.
*/
import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type Server} from 'node:http';
import {listen} from '../../src/utils/http-server.ts';
import {ErrorCode, getErrorCode} from '../../src/core/errors.ts';
import {type MemoryStore} from '../../src/standin/memory-store.ts';
import {
	AppendOutcome, type AppendResult, type KeyedWrite, type PartitionRef, type StoreClient,
} from '../../src/types/store.ts';

const lengthBytes = 4;
const headerBytes = 16;
const keyedPrefix = 'keyed.';

const readBody = async (request: IncomingMessage): Promise<Buffer> => {
	const chunks: Buffer[] = [];
	for await (const chunk of request) {
		chunks.push(chunk as Buffer);
	}

	return Buffer.concat(chunks);
};

const unframe = (body: Buffer): Buffer[] => {
	const values: Buffer[] = [];
	for (let position = 0; position < body.length;) {
		const length = body.readUInt32BE(position);
		position += lengthBytes;
		values.push(body.subarray(position, position + length));
		position += length;
	}

	return values;
};

const frame = (values: Buffer[]): Buffer => Buffer.concat(values.flatMap(value => {
	const length = Buffer.alloc(lengthBytes);
	length.writeUInt32BE(value.length);
	return [length, value];
}));

const decodeKeyed = (value: Buffer): KeyedWrite => {
	const end = 1 + value[0]!;
	return {key: value.subarray(1, end).toString(), ...(end < value.length && {value: value.subarray(end)})};
};

const encodeKeyed = ({key, value}: KeyedWrite): Buffer => Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key), value ?? Buffer.alloc(0)]);

/** A call to the store. */
export type StoreHttpCall = {url: URL; body: Buffer; signal?: AbortSignal};

/** Answer to a call. */
export type StoreHttpAnswer = {status: number; body: Buffer | string};

const formatAppendResult = (result: AppendResult): StoreHttpAnswer => {
	switch (result.outcome) {
		case AppendOutcome.Appended: {
			return {status: 200, body: JSON.stringify({offset: result.offset, end: result.endOffset})};
		}

		case AppendOutcome.NotAtEnd: {
			return {status: 412, body: JSON.stringify({end: result.endOffset})};
		}

		case AppendOutcome.Fenced: {
			return {status: 409, body: JSON.stringify({reason: 'fenced'})};
		}

		case AppendOutcome.WrongSequence: {
			return {status: 409, body: JSON.stringify({reason: 'seq', seq: result.expected})};
		}

		case AppendOutcome.Refused: {
			return {status: 503, body: '{}'};
		}
	}
};

/** Carries out one call and formats its answer. Throws `offset-gone` and what the client throws. */
export const handleStoreCall = async (client: StoreClient, {url: {pathname, searchParams: query}, body, signal}: StoreHttpCall): Promise<StoreHttpAnswer> => {
	const ref: PartitionRef = {topic: query.get('topic') ?? '', partition: Number(query.get('part') ?? 0)};
	const isKeyed = ref.topic.startsWith(keyedPrefix);
	switch (pathname) {
		case '/log-append': {
			const producer = query.get('producer');
			const at = query.get('at');
			const options = {
				timeoutMs: 1000,
				...(at !== null && {atOffset: Number(at)}),
				...(producer !== null && {stamp: {producer, epoch: Number(query.get('epoch')), sequence: Number(query.get('seq'))}}),
			};
			const values = unframe(body);
			return formatAppendResult(isKeyed ? await client.appendKeyed(ref, values.map(value => decodeKeyed(value)), options) : await client.append(ref, values, options));
		}

		case '/log-read': {
			const from = Number(query.get('from'));
			const waitMs = Number(query.get('waitMs') ?? 0);
			const header = Buffer.alloc(headerBytes);
			const page = isKeyed ? await client.readKeyed(ref, from, waitMs, signal) : await client.read(ref, from, {waitMs, maxBytes: Number(query.get('maxKb') ?? 1024) * 1024, signal});
			header.writeBigUInt64BE(BigInt(page.endOffset), 0);
			const values = page.records.map(record => 'key' in record ? encodeKeyed(record) : record.value);
			return {status: 200, body: Buffer.concat([header, frame(values)])};
		}

		case '/log-newest': {
			const {records, endOffset} = await client.readNewest(ref);
			return {status: 200, body: JSON.stringify({items: records.map(({key, value, offset}) => ({key, value: value.toString('base64'), offset})), hasMore: false, end: endOffset})};
		}

		case '/log-join': {
			const {group, member, topics, ttlMs, generation} = JSON.parse(body.toString()) as {group: string; member: string; topics: string[]; ttlMs: number; generation: number};
			const assignment = await client.join({
				group, member, topics, ttlMs, generation,
			});
			return {status: 200, body: JSON.stringify({generation: assignment.generation, parts: assignment.partitions.map(({topic, partition}) => [topic, partition, 0])})};
		}

		case '/log-leave': {
			const {group, member} = JSON.parse(body.toString()) as {group: string; member: string};
			await client.leave(group, member);
			return {status: 200, body: '{}'};
		}

		case '/log-owners': {
			const owners = await client.getPartitionHolders(query.get('group')!);
			return {status: 200, body: JSON.stringify({rows: owners.map(owner => ['', 0, owner, 0])})};
		}

		default: {
			return {status: 404, body: '{}'};
		}
	}
};

/** Formats the answer to a call that failed. */
export const formatStoreError = (error: unknown): StoreHttpAnswer => ({status: getErrorCode(error) === ErrorCode.OffsetGone ? 410 : 503, body: '{}'});

/** Starts the server; resolves to it, its address and the number of calls by path and topic. */
export const serveStore = async (store: MemoryStore): Promise<{server: Server; address: string; calls: Map<string, number>}> => {
	const calls = new Map<string, number>();
	const client = store.createClient('http');
	const server = createServer(async (request, response) => {
		const url = new URL(request.url!, 'http://store');
		const kind = `${url.pathname} ${url.searchParams.get('topic') ?? ''}`;
		calls.set(kind, (calls.get(kind) ?? 0) + 1);
		let answer: StoreHttpAnswer;
		try {
			answer = await handleStoreCall(client, {url, body: await readBody(request)});
		} catch (error) {
			answer = formatStoreError(error);
		}

		response.writeHead(answer.status);
		response.end(answer.body);
	});
	return {server, calls, address: await listen(server, '127.0.0.1:0')};
};
