/**
Client of the platform's store over HTTP: length-prefixed records, keyed records, conditional appends and groups.
*/
import {Buffer} from 'node:buffer';
import {
	createError, ErrorCode, getMessage,
} from '../core/errors.ts';
import {
	AppendOutcome, type AppendOptions, type AppendResult, type GroupAssignment, type KeyedRecord, type KeyedWrite, type PartitionRef, type ReadOptions, type StoreClient, type StorePage,
} from '../types/store.ts';
import {Fields, parseFields} from '../utils/fields.ts';
import {type HttpAnswer, type HttpCall, type HttpClient} from '../utils/keep-alive-client.ts';

/** Added to the wait of a read for its timeout: the store answers a read without records after the wait, a slow store up to half a second later. */
const readSlackMs = 700;
/** Timeout of calls that do not wait. The store answers them in a few ms, so an unresponsive connection is detected after this. */
const callTimeoutMs = 1500;
const bytesPerKb = 1024;
const defaultReadBytes = 1024 * bytesPerKb;
const lengthBytes = 4;
const pageHeadBytes = 16;

/** Creates the client of the store at the address. */
export const createStoreClient = (http: HttpClient, address: string): StoreClient => {
	const send = async (call: Omit<HttpCall, 'address'>): Promise<HttpAnswer> => {
		let answer;
		try {
			answer = await http.call({...call, address});
		} catch (error) {
			throw createError(ErrorCode.StoreUnanswered, {
				step: call.step, peer: address, detail: getMessage(error), cause: error,
			});
		}

		if (answer.status === 410) {
			throw createError(ErrorCode.OffsetGone, {step: call.step, peer: address, detail: String(parseReply(answer.body).nonNegativeInteger('first', 0))});
		}

		return answer;
	};

	const sendExpectingOk = async (call: Omit<HttpCall, 'address'>): Promise<HttpAnswer> => {
		const answer = await send(call);
		if (answer.status !== 200) {
			throw createError(ErrorCode.StoreRefused, {step: call.step, peer: address, detail: `status ${answer.status}`});
		}

		return answer;
	};

	const append = async (ref: PartitionRef, values: Buffer[], options: AppendOptions): Promise<AppendResult> => {
		const answer = await send({
			method: 'POST', path: `/log-append?${formatAppend(ref, options)}`, body: encodeRecords(values), timeoutMs: options.timeoutMs, step: `append to ${ref.topic}`,
		});
		return decodeAppend(answer);
	};

	const read = async (ref: PartitionRef, fromOffset: number, {waitMs, maxBytes = defaultReadBytes, signal}: ReadOptions): Promise<StorePage> => {
		const query = new URLSearchParams({
			topic: ref.topic,
			part: String(ref.partition),
			from: String(fromOffset),
			maxKb: String(Math.max(1, Math.floor(maxBytes / bytesPerKb))),
			...(waitMs > 0 && {waitMs: String(Math.round(waitMs))}),
		});
		const answer = await sendExpectingOk({
			method: 'GET', path: `/log-read?${query.toString()}`, timeoutMs: waitMs + readSlackMs, step: `read ${ref.topic}`, signal,
		});
		return decodePage(answer.body, fromOffset);
	};

	const postJson = async (path: string, json: unknown, step: string): Promise<Fields> => {
		const answer = await sendExpectingOk({
			method: 'POST', path, body: JSON.stringify(json), headers: {'content-type': 'application/json'}, timeoutMs: callTimeoutMs, step,
		});
		return parseReply(answer.body);
	};

	return {
		append,
		appendKeyed: async (ref, writes, options) => append(ref, writes.map(write => encodeKeyed(write)), options),
		read,
		async readKeyed(ref, fromOffset, waitMs, signal) {
			const page = await read(ref, fromOffset, {waitMs, signal});
			return {records: page.records.map(({offset, value}) => ({...decodeKeyed(value), offset})), endOffset: page.endOffset};
		},
		async readNewest(ref, signal) {
			const records: KeyedRecord[] = [];
			let endOffset: number | undefined;
			for (let after: string | undefined; ;) {
				const query = new URLSearchParams({topic: ref.topic, part: String(ref.partition), ...(after !== undefined && {after})});
				const answer = await sendExpectingOk({
					method: 'GET', path: `/log-newest?${query.toString()}`, timeoutMs: callTimeoutMs, step: `read newest of ${ref.topic}`, signal,
				});
				const page = parseReply(answer.body);
				const items = page.array('items', decodeNewest);
				records.push(...items);
				// The pages are not one snapshot. A record written meanwhile under a key of an earlier page lies before the end offset
				// of a later page, so reading goes on from the end offset of the first page.
				endOffset ??= page.nonNegativeInteger('end', 0);
				after = items.at(-1)?.key;
				if (!page.boolean('hasMore', false) || after === undefined) {
					return {records, endOffset};
				}
			}
		},
		async join({group, member, topics, ttlMs, generation}): Promise<GroupAssignment> {
			const reply = await postJson('/log-join', {
				group, member, topics, ttlMs, generation,
			}, 'join group');
			return {generation: reply.nonNegativeInteger('generation'), partitions: reply.array('parts', decodePartition)};
		},
		async getPartitionHolders(group) {
			const query = new URLSearchParams({group});
			const answer = await sendExpectingOk({
				method: 'GET', path: `/log-owners?${query.toString()}`, timeoutMs: callTimeoutMs, step: 'read owners of group',
			});
			return decodeOwners(answer.body);
		},
		async leave(group, member) {
			await postJson('/log-leave', {group, member}, 'leave group');
		},
	};
};

const parseReply = (body: Buffer): Fields => body.length === 0 ? new Fields({}, 'read store answer') : parseFields(body, 'read store answer');

const decodeNewest = (value: unknown): KeyedRecord => {
	const item = new Fields(value, 'read newest record');
	return {key: item.string('key'), value: Buffer.from(item.string('value', ''), 'base64'), offset: item.nonNegativeInteger('offset')};
};

/** Decodes a row of topic, partition and committed offset. */
const decodePartition = (value: unknown): PartitionRef => {
	const row = new Fields(value, 'read group assignment');
	return {topic: row.string(0), partition: row.nonNegativeInteger(1)};
};

/** Decodes rows of topic, partition, member and offset. The platform's documentation does not name the field that holds the rows. */
const decodeOwners = (body: Buffer): string[] => {
	const reply = JSON.parse(body.toString('utf8')) as unknown;
	const rows: unknown[] = Array.isArray(reply) ? reply : Object.values((reply ?? {}) as Record<string, unknown>).find(value => Array.isArray(value)) ?? [];
	const members = rows.map(row => new Fields(row, 'read group owners').string(2, ''));
	return [...new Set(members.filter(member => member !== ''))];
};

const formatAppend = (ref: PartitionRef, {stamp, atOffset}: AppendOptions): string => new URLSearchParams({
	topic: ref.topic,
	part: String(ref.partition),
	...(atOffset !== undefined && {at: String(atOffset)}),
	...(stamp && {producer: stamp.producer, epoch: String(stamp.epoch), seq: String(stamp.sequence)}),
}).toString();

const encodeRecords = (values: Buffer[]): Buffer => {
	const parts: Buffer[] = [];
	for (const value of values) {
		const length = Buffer.alloc(lengthBytes);
		length.writeUInt32BE(value.length);
		parts.push(length, value);
	}

	return Buffer.concat(parts);
};

const decodeAppend = ({status, body}: HttpAnswer): AppendResult => {
	switch (status) {
		case 200: {
			const reply = parseReply(body);
			return {outcome: AppendOutcome.Appended, offset: reply.nonNegativeInteger('offset', 0), endOffset: reply.nonNegativeInteger('end', 0)};
		}

		case 412: {
			return {outcome: AppendOutcome.NotAtEnd, endOffset: parseReply(body).nonNegativeInteger('end', 0)};
		}

		case 409: {
			const reply = parseReply(body);
			return reply.string('reason', '') === 'fenced' ? {outcome: AppendOutcome.Fenced} : {outcome: AppendOutcome.WrongSequence, expected: getExpected(reply)};
		}

		default: {
			return {outcome: AppendOutcome.Refused, reason: `status ${status}`};
		}
	}
};

/** The platform's documentation mentions the expected number without naming its field; the store sends it as `seq`. */
const getExpected = (reply: Fields): number => reply.number('seq', Number.NaN);

const decodePage = (body: Buffer, fromOffset: number): StorePage => {
	const endOffset = Number(body.readBigUInt64BE(0));
	const oldestOffset = Number(body.readBigUInt64BE(8));
	const records: StorePage['records'] = [];
	let offset = Math.max(fromOffset, oldestOffset);
	for (let position = pageHeadBytes; position + lengthBytes <= body.length;) {
		const length = body.readUInt32BE(position);
		position += lengthBytes;
		records.push({offset, value: body.subarray(position, position + length)});
		position += length;
		offset++;
	}

	return {records, oldestOffset, endOffset};
};

const encodeKeyed = ({key, value}: KeyedWrite): Buffer => {
	const keyBytes = Buffer.from(key, 'utf8');
	return Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, value ?? Buffer.alloc(0)]);
};

const decodeKeyed = (record: Buffer): KeyedWrite => {
	const keyEnd = 1 + (record[0] ?? 0);
	const key = record.subarray(1, keyEnd).toString('utf8');
	return keyEnd < record.length ? {key, value: record.subarray(keyEnd)} : {key};
};
