/**
Stand-in for the platform's store: a log with partitions, producers, keyed topics, groups and an age limit of records. It is served at one
address for each machine, so that a case can disturb the calls of one machine alone.
*/
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

const lengthBytes = 4;
const headBytes = 16;
const repeatedAppends = 5;
const answerMs = 4;
const maxRecordBytes = 262_144;
const maxCallBytes = 2_097_152;

const sleep = async ms => new Promise(resolve => {
	setTimeout(resolve, ms);
});

const readBody = async request => {
	const chunks = [];
	for await (const chunk of request) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
};

const unframe = body => {
	const values = [];
	for (let position = 0; position < body.length;) {
		const length = body.readUInt32BE(position);
		position += lengthBytes;
		values.push(body.subarray(position, position + length));
		position += length;
	}

	return values;
};

const frame = values => Buffer.concat(values.flatMap(value => {
	const length = Buffer.alloc(lengthBytes);
	length.writeUInt32BE(value.length);
	return [length, value];
}));

const json = (status, body) => ({status, body: Buffer.from(JSON.stringify(body))});

/** The store. */
export class Store {
	/** Called for each call before it is carried out; what it returns is waited for. A case delays or drops calls with it. */
	disturb = async () => undefined;
	/** Called for each append that is refused because a record, or all of them, are too large. */
	onTooLarge;
	#topics = new Map();
	#groups = new Map();
	#servers = [];
	#parts;
	#keepMs;

	constructor({parts, keepMs}) {
		this.#parts = parts;
		this.#keepMs = keepMs;
	}

	/** Serves the calls of one machine. */
	async listen(machine, host, port) {
		const server = createServer(async (request, response) => {
			const url = new URL(request.url, 'http://store');
			try {
				const body = await readBody(request);
				const verdict = await this.disturb({machine, path: url.pathname, topic: url.searchParams.get('topic')});
				if (verdict === 'drop') {
					return;
				}

				await sleep(answerMs);
				const answer = await this.#handle(url, body, request);
				response.writeHead(answer.status, {'content-length': answer.body.length});
				response.end(answer.body);
			} catch {
				response.destroy();
			}
		});
		server.keepAliveTimeout = 0;
		await new Promise((resolve, reject) => {
			server.once('error', reject);
			server.listen(port, host, resolve);
		});
		this.#servers.push(server);
	}

	close() {
		for (const server of this.#servers) {
			server.close();
			server.closeAllConnections();
		}
	}

	/** Writes a keyed record as the operator does. */
	put(topic, key, value) {
		this.#append(this.#getPartition(topic, 0), true, [Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key), Buffer.from(value)])]);
	}

	/** Member that holds the partition of the topic. */
	getHolder(group, topic, part) {
		return this.#groups.get(group)?.holders.get(`${topic} ${part}`);
	}

	/** Partitions of the topic that have records. */
	getUsedPartitions(topic) {
		const partitions = this.#topics.get(topic) ?? new Map();
		return [...partitions].filter(([, {records, first}]) => first + records.length > 0).map(([part]) => part);
	}

	#getPartition(topic, part) {
		const partitions = this.#topics.get(topic) ?? new Map();
		this.#topics.set(topic, partitions);
		const partition = partitions.get(part) ?? {
			records: [], first: 0, producers: new Map(), newest: new Map(), waiters: new Set(),
		};
		partitions.set(part, partition);
		this.#expire(partition);
		return partition;
	}

	#expire(partition) {
		const oldestMs = Date.now() - this.#keepMs;
		while (partition.records.length > 0 && partition.records[0].atMs < oldestMs) {
			partition.records.shift();
			partition.first++;
		}
	}

	async #handle(url, body, request) {
		const query = url.searchParams;
		const topic = query.get('topic') ?? '';
		const part = Number(query.get('part') ?? 0);
		switch (url.pathname) {
			case '/log-append': {
				return this.#handleAppend(this.#getPartition(topic, part), topic, query, unframe(body));
			}

			case '/log-read': {
				return this.#handleRead(this.#getPartition(topic, part), query, request);
			}

			case '/log-newest': {
				const partition = this.#getPartition(topic, part);
				const items = [...partition.newest].map(([key, {value, offset}]) => ({key, value: value.toString('base64'), offset}));
				return json(200, {items, hasMore: false, end: partition.first + partition.records.length});
			}

			case '/log-join': {
				return this.#handleJoin(JSON.parse(body.toString()));
			}

			case '/log-leave': {
				const {group, member} = JSON.parse(body.toString());
				const state = this.#groups.get(group);
				if (state?.members.delete(member)) {
					this.#assign(state);
				}

				return json(200, {});
			}

			case '/log-owners': {
				const state = this.#groups.get(query.get('group'));
				const rows = [...state?.holders ?? []].map(([key, member]) => [key.split(' ')[0], Number(key.split(' ')[1]), member, 0]);
				return json(200, {rows});
			}

			default: {
				return json(404, {});
			}
		}
	}

	#append(partition, isKeyed, values) {
		const offset = partition.first + partition.records.length;
		for (const value of values) {
			if (isKeyed) {
				const end = 1 + value[0];
				const key = value.subarray(1, end).toString();
				partition.newest.delete(key);
				if (end < value.length) {
					partition.newest.set(key, {value: value.subarray(end), offset: partition.first + partition.records.length});
				}
			}

			partition.records.push({value, atMs: Date.now()});
		}

		for (const wake of partition.waiters) {
			wake();
		}

		return json(200, {offset, end: partition.first + partition.records.length});
	}

	#handleAppend(partition, topic, query, values) {
		const end = partition.first + partition.records.length;
		const at = query.get('at');
		if (at !== null && Number(at) !== end) {
			return json(412, {end});
		}

		// The page gives the limits and names no answer: all or nothing is appended, so a call beyond them is refused.
		if (values.some(({length}) => length > maxRecordBytes) || values.reduce((sum, {length}) => sum + length, 0) > maxCallBytes) {
			this.onTooLarge?.(topic, values);
			return json(413, {});
		}

		const producer = query.get('producer');
		const isKeyed = topic.startsWith('keyed.');
		if (producer === null) {
			return this.#append(partition, isKeyed, values);
		}

		const epoch = Number(query.get('epoch'));
		const seq = Number(query.get('seq'));
		const known = partition.producers.get(producer);
		if (known && epoch < known.epoch) {
			return json(409, {reason: 'fenced'});
		}

		const isSame = known !== undefined && epoch === known.epoch;
		if (isSame && known.answers.has(seq)) {
			return known.answers.get(seq);
		}

		if (isSame && seq !== known.seq + 1) {
			return json(409, {reason: 'seq', seq: known.seq + 1});
		}

		const answer = this.#append(partition, isKeyed, values);
		const answers = isSame ? known.answers : new Map();
		answers.set(seq, answer);
		answers.delete(seq - repeatedAppends);
		partition.producers.set(producer, {epoch, seq, answers});
		return answer;
	}

	async #handleRead(partition, query, request) {
		const from = Number(query.get('from'));
		const waitMs = Number(query.get('waitMs') ?? 0);
		const maxBytes = Number(query.get('maxKb') ?? 1024) * 1024;
		if (from >= partition.first + partition.records.length && waitMs > 0) {
			await new Promise(resolve => {
				const timer = setTimeout(done, waitMs);
				function done() {
					clearTimeout(timer);
					partition.waiters.delete(done);
					request.socket.off('close', done);
					resolve();
				}

				partition.waiters.add(done);
				request.socket.once('close', done);
			});
		}

		this.#expire(partition);
		if (from < partition.first) {
			return json(410, {first: partition.first});
		}

		const values = [];
		let bytes = 0;
		for (const {value} of partition.records.slice(from - partition.first)) {
			if (values.length > 0 && bytes + value.length > maxBytes) {
				break;
			}

			bytes += value.length;
			values.push(value);
		}

		const head = Buffer.alloc(headBytes);
		head.writeBigUInt64BE(BigInt(partition.first + partition.records.length), 0);
		head.writeBigUInt64BE(BigInt(partition.first), 8);
		return {status: 200, body: Buffer.concat([head, frame(values)])};
	}

	#handleJoin({group, member, topics, ttlMs, generation}) {
		const state = this.#groups.get(group) ?? {
			generation: 0, members: new Map(), holders: new Map(), releasing: new Map(), topics,
		};
		this.#groups.set(group, state);
		this.#removeSilent(state);
		const isNew = !state.members.has(member);
		state.members.set(member, {atMs: performance.now(), ttlMs});
		for (const [key, {from, since}] of state.releasing) {
			if (from === member && generation >= since) {
				state.releasing.delete(key);
				this.#give(state, key);
			}
		}

		if (isNew) {
			this.#assign(state);
		}

		const parts = [...state.holders].filter(([, holder]) => holder === member).map(([key]) => [key.split(' ')[0], Number(key.split(' ')[1]), 0]);
		return json(200, {generation: state.generation, parts});
	}

	#removeSilent(state) {
		let isChanged = false;
		for (const [name, {atMs, ttlMs}] of state.members) {
			if (performance.now() - atMs > ttlMs) {
				state.members.delete(name);
				isChanged = true;
			}
		}

		if (isChanged) {
			this.#assign(state);
		}
	}

	/** Distributes the partitions evenly; one that a living member has too many of is given away once that member knows of it. */
	#assign(state) {
		state.generation++;
		const most = Math.ceil(this.#parts / Math.max(1, state.members.size));
		const counts = new Map([...state.members.keys()].map(name => [name, 0]));
		for (const [key, {from}] of state.releasing) {
			if (!state.members.has(from)) {
				state.releasing.delete(key);
			}
		}

		for (const topic of state.topics) {
			for (let part = 0; part < this.#parts; part++) {
				const key = `${topic} ${part}`;
				const holder = state.holders.get(key);
				if (holder !== undefined && !counts.has(holder)) {
					state.holders.delete(key);
				} else if (holder !== undefined && counts.get(holder) >= most) {
					state.holders.delete(key);
					state.releasing.set(key, {from: holder, since: state.generation});
				} else if (holder !== undefined) {
					counts.set(holder, counts.get(holder) + 1);
				}

				if (!state.holders.has(key) && !state.releasing.has(key)) {
					this.#give(state, key);
				}
			}
		}
	}

	#give(state, key) {
		const counts = new Map([...state.members.keys()].map(name => [name, 0]));
		for (const holder of state.holders.values()) {
			counts.set(holder, (counts.get(holder) ?? 0) + 1);
		}

		const [least] = [...counts].toSorted((a, b) => a[1] - b[1]);
		if (least) {
			state.holders.set(key, least[0]);
		}
	}
}
