/**
Requests and answers of the store client, against a server that answers as the platform's documentation says.
*/
import {Buffer} from 'node:buffer';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {ErrorCode, getErrorCode, getOldestOffset} from '../src/core/errors.ts';
import {createStoreClient} from '../src/platform/store-calls.ts';
import {AppendOutcome, type StoreClient} from '../src/types/store.ts';
import {StubServer, type ReceivedRequest, type StubResponse} from './stub-server.ts';

let server: StubServer;
const ref = {topic: 'work', partition: 3};

const createStore = async (respond: (received: ReceivedRequest) => StubResponse): Promise<StoreClient> => {
	server = await new StubServer(respond).start();
	return createStoreClient(server.http, server.address);
};

const frame = (value: string): Buffer => {
	const length = Buffer.alloc(4);
	length.writeUInt32BE(Buffer.byteLength(value));
	return Buffer.concat([length, Buffer.from(value)]);
};

const frameHead = (endOffset: number, oldestOffset: number): Buffer => {
	const head = Buffer.alloc(16);
	head.writeBigUInt64BE(BigInt(endOffset), 0);
	head.writeBigUInt64BE(BigInt(oldestOffset), 8);
	return head;
};

afterEach(async () => {
	await server.stop();
});

describe('append', () => {
	it('sends length-prefixed records, and the writer\'s epoch and sequence number', async () => {
		const store = await createStore(() => ({status: 200, json: {offset: 7, end: 9}}));
		const result = await store.append(ref, [Buffer.from('ab'), Buffer.from('c')], {stamp: {producer: 'w', epoch: 2, sequence: 5}, atOffset: 7, timeoutMs: 1000});
		expect(result).toEqual({outcome: AppendOutcome.Appended, offset: 7, endOffset: 9});
		const {url, body} = server.requests[0]!;
		expect(Object.fromEntries(url.searchParams)).toEqual({
			topic: 'work', part: '3', at: '7', producer: 'w', epoch: '2', seq: '5',
		});
		expect(body).toEqual(Buffer.concat([frame('ab'), frame('c')]));
	});

	it.each([
		[{status: 412, json: {end: 4}}, {outcome: AppendOutcome.NotAtEnd, endOffset: 4}],
		[{status: 409, json: {reason: 'fenced'}}, {outcome: AppendOutcome.Fenced}],
		[{status: 409, json: {reason: 'seq', seq: 12}}, {outcome: AppendOutcome.WrongSequence, expected: 12}],
		[{status: 503}, {outcome: AppendOutcome.Refused, reason: 'status 503'}],
		[{status: 429}, {outcome: AppendOutcome.Refused, reason: 'status 429'}],
		[{status: 507}, {outcome: AppendOutcome.Refused, reason: 'status 507'}],
	])('maps the answer %j to its outcome', async (response, result) => {
		const store = await createStore(() => response);
		expect(await store.append(ref, [], {timeoutMs: 1000})).toEqual(result);
	});

	it('reports an unknown outcome for a call without an answer', async () => {
		const store = await createStore(() => 'reset');
		await expect(store.append(ref, [Buffer.from('a')], {timeoutMs: 1000})).rejects.toSatisfy(error => getErrorCode(error) === ErrorCode.StoreUnanswered);
	});

	it('times out when the connection does not respond', async () => {
		const store = await createStore(() => 'silence');
		await expect(store.append(ref, [Buffer.from('a')], {timeoutMs: 50})).rejects.toSatisfy(error => getErrorCode(error) === ErrorCode.StoreUnanswered);
	});

	it('encodes the key before the value', async () => {
		const store = await createStore(() => ({status: 200, json: {offset: 0, end: 1}}));
		await store.appendKeyed(ref, [{key: 'k', value: Buffer.from('v')}, {key: 'gone'}], {timeoutMs: 1000});
		expect(server.requests[0]!.body).toEqual(Buffer.concat([frame('\u0001kv'), frame('\u0004gone')]));
	});
});

describe('read', () => {
	it('numbers records from the offset of the read', async () => {
		const store = await createStore(() => ({status: 200, raw: Buffer.concat([frameHead(12, 2), frame('x'), frame('')])}));
		expect(await store.read(ref, 10, {waitMs: 500, maxBytes: 65_536})).toEqual({
			records: [{offset: 10, value: Buffer.from('x')}, {offset: 11, value: Buffer.from('')}], oldestOffset: 2, endOffset: 12,
		});
		expect(server.requests[0]!.url.searchParams.get('waitMs')).toBe('500');
		expect(server.requests[0]!.url.searchParams.get('maxKb')).toBe('64');
	});

	it('reports the oldest offset when records were dropped', async () => {
		const store = await createStore(() => ({status: 410, json: {first: 44}}));
		await expect(store.read(ref, 10, {waitMs: 0})).rejects.toSatisfy(error => getOldestOffset(error) === 44);
	});

	it('reports a refusal as a call that did nothing', async () => {
		const store = await createStore(() => ({status: 503}));
		await expect(store.read(ref, 0, {waitMs: 0})).rejects.toSatisfy(error => getErrorCode(error) === ErrorCode.StoreRefused);
	});

	it('collects all pages of latest records, and returns the end offset of the first: records written meanwhile are read again', async () => {
		const store = await createStore(({url}) => ({
			status: 200,
			json: url.searchParams.get('after') === null
				? {items: [{key: 'a', value: 'YQ==', offset: 3}], hasMore: true, end: 9}
				: {items: [{key: 'b', value: 'Yg==', offset: 4}], hasMore: false, end: 10},
		}));
		expect(await store.readNewest(ref)).toEqual({
			records: [{key: 'a', value: Buffer.from('a'), offset: 3}, {key: 'b', value: Buffer.from('b'), offset: 4}], endOffset: 9,
		});
	});
});

describe('groups', () => {
	it('returns the partitions that are assigned to the member', async () => {
		const store = await createStore(() => ({status: 200, json: {generation: 7, ttlMs: 3000, parts: [['work', 3, 840]]}}));
		expect(await store.join({
			group: 'g', member: 'm', topics: ['work'], ttlMs: 1200, generation: 6,
		})).toEqual({generation: 7, partitions: [{topic: 'work', partition: 3}]});
	});
});
