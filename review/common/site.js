/* eslint import-x/extensions: "off" */
/**
A small site on loopback: the project's own programs as separate processes, started with the commands of the deploy file, and the
project's stand-ins for the store and for minions. Everything that is sent, answered and run goes into the record of the case.
*/

import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer as createHttpServer, request as sendRequest} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {parse} from 'smol-toml';
import {configKey, operatorTopic} from '../../src/platform/site-config';
import {MemoryStore} from '../../src/standin/memory-store';
import {createRandom} from '../../src/utils/seeded-random';
import {createSystemClock} from '../../src/utils/system-clock';
import {formatStoreError, handleStoreCall} from '../../test/perf/store-server';
import {WorkerEndpoint} from '../../test/site-soak/worker-endpoint';

/** Bounds of the sheet of Clydeside Lading, as the settings of its processes give them. */
const boundsText = `seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
recoveryS = 12
maxHoldMs = 6000
stopGraceMs = 200
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
farFactor = 1.5
checkpointS = 1
restoreMs = 600
noticeMs = 4500
migrateS = 1.5
maintenanceS = 2
enforceFencing = true
leaseTtlMs = 3000
thawMs = 300
paceMs = 100
harmMs = 4000`;

/** The same, as far as cases need them. */
export const bounds = {
	configApplyMs: 2000, maxHoldMs: 6000, stopGraceMs: 200,
};

// Loopback addresses of this run: outgoing connections come from 127.0.0.1 and take no port of them.
const network = `127.${64 + ((process.pid >> 8) & 127)}.${process.pid & 255}`;
const firstSideByte = 50;
const partitions = 8;
/** The longest record that the platform's store takes, and the length of the field in front of each. */
const recordBytes = 262_144;
const lengthBytes = 4;
const expiryIntervalMs = 500;
const summaryMs = 5000;
const zones = ['leith-hall', 'govan-hall', 'grange-hall'];
const callersHost = 'nony24.example';
const readyPollMs = 100;
const deadlineMs = 3000;
const graceMs = 6000;
const clientTimeoutMs = 4000;

export const sleep = async ms => new Promise(resolve => {
	setTimeout(resolve, ms);
});

/** Gets free ports of the loopback address; all are held until the last one is known, so that no two are the same. */
const getFreePorts = async (ip, count) => {
	const servers = await Promise.all(Array.from({length: count}, async () => new Promise(resolve => {
		const server = createServer();
		server.listen(0, ip, () => {
			resolve(server);
		});
	})));
	const ports = servers.map(server => server.address().port);
	await Promise.all(servers.map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return ports;
};

/** Whether the body of an append has a record that is longer than the store takes. */
const hasLongRecord = body => {
	for (let position = 0; position < body.length;) {
		const length = body.readUInt32BE(position);
		if (length > recordBytes) {
			return true;
		}

		position += lengthBytes + length;
	}

	return false;
};

/**
Serves the project's stand-in store, and adds what it lacks: records that are too long are rejected, and records expire after `keepS`.
`onRejected` is called for each append with a record that is too long.
*/
const serveStore = async (store, {keepS, onRejected}) => {
	const client = store.createClient('http');
	// Ends of the partitions over time: what lies before the end of `keepS` ago has expired.
	const partitionsByName = new Map();
	const noteEnd = (url, {end}) => {
		const ref = {topic: url.searchParams.get('topic'), partition: Number(url.searchParams.get('part') ?? 0)};
		const name = `${ref.topic} ${ref.partition}`;
		const known = partitionsByName.get(name) ?? {ref, first: 0, ends: []};
		partitionsByName.set(name, known);
		known.ends.push({atMs: performance.now(), end});
	};

	const getFirst = url => partitionsByName.get(`${url.searchParams.get('topic')} ${Number(url.searchParams.get('part') ?? 0)}`)?.first ?? 0;
	const timer = setInterval(() => {
		for (const known of partitionsByName.values()) {
			while (known.ends.length > 0 && performance.now() - known.ends[0].atMs > keepS * 1000) {
				known.first = Math.max(known.first, known.ends.shift().end);
				store.trim(known.ref, known.first);
			}
		}
	}, expiryIntervalMs);
	const server = createHttpServer(async (request, response) => {
		const url = new URL(request.url, 'http://store');
		let answer;
		try {
			const body = Buffer.concat(await request.toArray());
			if (url.pathname === '/log-append' && hasLongRecord(body)) {
				onRejected(url, body);
				answer = {status: 413, body: '{}'};
			} else {
				answer = await handleStoreCall(client, {url, body});
			}

			if (answer.status === 200 && url.pathname === '/log-append' && !url.searchParams.get('topic').startsWith('keyed.')) {
				noteEnd(url, JSON.parse(answer.body));
			} else if (answer.status === 200 && url.pathname === '/log-read') {
				answer.body.writeBigUInt64BE(BigInt(getFirst(url)), 8);
			}
		} catch (error) {
			answer = formatStoreError(error);
			answer.body = JSON.stringify(answer.status === 410 ? {first: getFirst(url)} : {});
		}

		response.writeHead(answer.status);
		response.end(answer.body);
	});
	await new Promise(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	server.once('close', () => {
		clearInterval(timer);
	});
	return {server, address: `127.0.0.1:${server.address().port}`};
};

/** The site of one case. */
export class Site {
	/** Starts and ends of runs as the minions saw them. */
	events = [];
	entries = [];
	minions = [];
	#clock = createSystemClock();
	#random = createRandom(1);
	#directory = mkdtempSync(path.join(tmpdir(), 'review-'));
	#children = new Set();
	#aborter = new AbortController();
	#lines = [];
	#startedAtMs = performance.now();
	#recordPath;
	#isStopping = false;
	#minionCount = 0;
	#store;
	#storeServer;
	#rejectedAppends = 0;
	#keepS;
	#summarizedId;
	#sums = {};
	#roles = parse(readFileSync('deploy/system.toml', 'utf8')).roles;

	constructor(recordPath) {
		this.#recordPath = recordPath;
		this.#store = new MemoryStore(this.#clock, partitions);
		process.once('exit', () => {
			this.#killAll();
		});
		for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) {
			process.once(signal, () => {
				process.exit(2);
			});
		}
	}

	/** Time since the start of the case. */
	get nowMs() {
		return performance.now() - this.#startedAtMs;
	}

	/** Writes a line into the record. */
	note(text) {
		this.#lines.push(`${(this.nowMs / 1000).toFixed(3).padStart(8)} ${text}`);
	}

	/** Starts the store and the entries. */
	async start({entries, config, keepS = 300}) {
		this.#keepS = keepS;
		this.#storeServer = await serveStore(this.#store, {
			keepS,
			onRejected: (url, body) => {
				this.#noteRejected(url, body);
			},
		});
		this.declare(config);
		for (let index = 0; index < entries; index++) {
			await this.#addEntry(index);
		}
	}

	/** The operator writes a configuration; the store's answer acknowledges it. */
	declare(config) {
		this.#store.put({topic: operatorTopic, partition: 0}, configKey, Buffer.from(JSON.stringify(config)));
		this.note(`operator: config version ${config.version} acknowledged: ${JSON.stringify(config.routes.map(({pathPrefix, service}) => ({pathPrefix, service})))}`);
	}

	/** Adds a side machine: an agent and the minion that it calls. `planRun` says what a run does; `onStart` is called for each start, `onLoss` for each run that is lost with its minion. */
	async addMinion({service, planRun, onStart, onLoss}) {
		const index = this.#minionCount++;
		const name = `side-${service}-${index + 1}`;
		const zone = zones[index % zones.length];
		const ip = `${network}.${firstSideByte + index}`;
		const [app, control, internal, metrics] = await getFreePorts(ip, 4);
		const endpoint = new WorkerEndpoint({
			name: `i-${service}-${index + 1}`,
			clock: this.#clock,
			random: this.#random,
			clockRate: 1,
			worker: {
				report: {
					service, failureDomain: zone, milliCpu: 16_000, memoryMb: 64_000, accelerators: 0, labels: ['a', `r1-${Math.floor(index / 3)}`],
				},
				plan: planRun,
				onEvent: event => {
					this.#handleEvent(event, service);
					if (event.type === 'started') {
						onStart?.(minion, event);
					} else if (event.end === 'lost') {
						onLoss?.(event);
					}
				},
				maxLeaseMs: bounds.maxHoldMs,
				stopMs: bounds.stopGraceMs,
			},
		});
		const minion = {
			name, service, endpoint, ip, control,
		};
		this.minions.push(minion);
		await endpoint.server.listen(`${ip}:${app}`);
		this.#spawn(name, 'agent', `${this.#formatHead({
			name, ip, zone, ports: [internal, metrics],
		})}
app = "${ip}:${app}"
service = "${service}"
[listenAddrs]
control = "${ip}:${control}"
${this.#formatTables(0.405)}`);
		this.#runEndpoint(endpoint, `${ip}:${control}`);
		this.note(`machine ${name} of service ${service} is there`);
		return minion;
	}

	/** Crashes a minion: its runs are gone, and it comes back as another incarnation. */
	crash({name, endpoint}, downMs) {
		const before = endpoint.worker.workerId;
		endpoint.crash(downMs);
		this.note(`minion on ${name} crashes (${before}), back after ${downMs} ms as ${endpoint.worker.workerId}`);
	}

	/** Whether all entries answer 200 to the platform's readiness check. */
	async waitUntilReady(boundMs) {
		const endMs = this.nowMs + boundMs;
		while (this.nowMs < endMs) {
			const statuses = await Promise.all(this.entries.map(async ({ip, ready}) => this.#send({
				ip, port: ready, method: 'GET', path: '/readiness',
			}).then(({status}) => status, () => 0)));
			if (statuses.every(status => status === 200)) {
				this.note('all entries are ready');
				return true;
			}

			await sleep(readyPollMs);
		}

		this.note('the entries are not ready in time');
		return false;
	}

	/** A client's request; resolves to its status, 0 without an answer. */
	async call(entry, method, target, json) {
		this.note(`client -> ${entry.name}: ${method} ${target}${json ? ` ${JSON.stringify(json)}` : ''}`);
		let answer;
		try {
			answer = await this.#send({
				ip: entry.ip, port: entry.callers, method, path: target, json, headers: {host: callersHost, 'deadline-ms': String(deadlineMs)},
			});
		} catch (error) {
			answer = {status: 0, body: error.message};
		}

		this.note(`client <- ${entry.name}: ${method} ${target} ${answer.status} ${answer.body}`);
		return answer;
	}

	/** Writes the record and ends all processes. */
	async stop() {
		this.#isStopping = true;
		writeFileSync(this.#recordPath, `${this.#lines.join('\n')}\n`);
		this.#aborter.abort();
		const ends = [...this.#children].map(async child => new Promise(resolve => {
			child.once('exit', resolve);
		}));
		this.#killAll();
		await Promise.all(ends);
		this.#storeServer?.server.close();
		rmSync(this.#directory, {recursive: true, force: true});
	}

	#noteRejected(url, body) {
		const count = ++this.#rejectedAppends;
		if (count === 1 || count % 100 === 0) {
			this.note(`store: append number ${count} rejected with 413, ${body.length} bytes, a record of over ${recordBytes}: ${url.pathname}${url.search}`);
		}
	}

	async #runEndpoint(endpoint, agentAddress) {
		await endpoint.run(agentAddress, this.#aborter.signal);
	}

	/** Writes the runs of a job into the record as sums, not one by one. */
	summarize(id) {
		this.#summarizedId = id;
		const timer = setInterval(() => {
			const counts = Object.entries(this.#sums).map(([what, count]) => `${count} ${what}`).join(', ');
			this.#sums = {};
			this.note(`minions: runs of ${id} in the last ${summaryMs / 1000} s: ${counts || 'none'}`);
		}, summaryMs);
		this.#aborter.signal.addEventListener('abort', () => {
			clearInterval(timer);
		});
	}

	#handleEvent(event, service) {
		if (event.taskId.startsWith(this.#summarizedId)) {
			const what = event.type === 'ended' ? `ended ${event.end}` : event.type.replace('forgotten', 'taken note of');
			this.#sums[what] = (this.#sums[what] ?? 0) + 1;
			return;
		}

		if (event.type === 'forgotten') {
			this.note(`minion ${event.workerId}: end of ${event.taskId} run ${event.run} taken note of`);
			return;
		}

		this.events.push({...event, service, atMs: this.nowMs});
		this.note(`minion ${event.workerId}: ${event.taskId} run ${event.run} ${event.type}${'end' in event ? ` ${event.end}` : ''}`);
	}

	/** Stops an entry with SIGTERM as the platform does, and starts it again once it has ended. */
	async restartEntry(entry) {
		const {name, role, child} = entry.process;
		this.note(`${name} gets SIGTERM`);
		const end = new Promise(resolve => {
			child.once('exit', resolve);
		});
		entry.process.isStopping = true;
		child.kill('SIGTERM');
		const timer = setTimeout(() => {
			child.kill('SIGKILL');
		}, graceMs);
		await end;
		clearTimeout(timer);
		this.note(`${name} has ended and starts again`);
		entry.process = this.#launch(name, role);
	}

	async #addEntry(index) {
		const name = `frontend-${index + 1}`;
		const ip = `${network}.${1 + index}`;
		const [callers, ready, internal, metrics] = await getFreePorts(ip, 4);
		const entry = {
			name, ip, callers, ready,
		};
		this.entries.push(entry);
		entry.process = this.#spawn(name, 'entry', `${this.#formatHead({
			name, ip, zone: zones[index % zones.length], ports: [internal, metrics],
		})}
[listenAddrs]
frontendAddr = "${ip}:${callers}"
ready = "${ip}:${ready}"
${this.#formatTables(0.27)}`);
	}

	#formatHead({name, ip, zone, ports}) {
		return `nodeName = "${name}"
ip = "${ip}"
zone = "${zone}"
region = "scot-central"
internalPorts = [${ports.join(', ')}]
heartbeatMs = 1500
orders = "call"`;
	}

	#formatTables(cpuShare) {
		return `[limits]
cpuShare = ${cpuShare}
cores = 1
linkMbps = 1000.0
[bounds]
${boundsText}
[platform]
address = "${this.#storeServer.address}"
form = "log"
writesPerS = 800
readsPerS = 2000
parts = ${partitions}
appendMs = 4.0
recordBytes = ${recordBytes}
callBytes = 2097152
keep_s = ${this.#keepS}
minTtlMs = 1000`;
	}

	#spawn(name, role, settings) {
		const settingsPath = path.join(this.#directory, `${name}.toml`);
		writeFileSync(settingsPath, settings);
		return this.#launch(name, role);
	}

	#launch(name, role) {
		const settingsPath = path.join(this.#directory, `${name}.toml`);
		const [command, ...args] = this.#roles[role].run.split(' ');
		const child = spawn(command === 'node' ? process.execPath : command, args, {
			env: {PATH: process.env.PATH, HOME: process.env.HOME, CHERVILWORKS_BOOT: settingsPath}, stdio: ['ignore', 'ignore', 'pipe'],
		});
		const launched = {
			name, role, child, isStopping: false,
		};
		this.#children.add(child);
		child.stderr.on('data', data => {
			this.note(`${name} writes on standard error: ${data}`);
		});
		child.once('exit', (code, signal) => {
			this.#children.delete(child);
			if (!this.#isStopping && !launched.isStopping) {
				this.note(`${name} ended by itself: code ${code}, signal ${signal}`);
			}
		});
		return launched;
	}

	async #send({ip, port, method, path: target, json, headers}) {
		return new Promise((resolve, reject) => {
			const body = json && JSON.stringify(json);
			const request = sendRequest({
				host: ip,
				port,
				method,
				path: target,
				agent: false,
				timeout: clientTimeoutMs,
				headers: {...headers, ...(body && {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)})},
			}, response => {
				let text = '';
				response.setEncoding('utf8');
				response.on('data', chunk => {
					text += chunk;
				});
				response.on('end', () => {
					resolve({status: response.statusCode, body: text});
				});
				response.on('error', reject);
			});
			request.on('timeout', () => {
				request.destroy(new Error('no answer in time'));
			});
			request.on('error', reject);
			request.end(body);
		});
	}

	#killAll() {
		for (const child of this.#children) {
			child.kill('SIGKILL');
		}
	}
}

/** Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export const runCase = async (number, run) => {
	const site = new Site(`review/${number}/record.txt`);
	process.on('uncaughtException', error => {
		process.stderr.write(`${error.stack}\n`);
		process.exit(2);
	});
	let code = 2;
	try {
		const isTroubled = process.env.TROUBLE !== '0';
		site.note(isTroubled ? 'with the disruption' : 'without the disruption');
		code = await run(site, isTroubled);
	} catch (error) {
		site.note(`the case could not run: ${error.stack}`);
	}

	site.note(['result 0: the rule held', 'result 1: the rule is broken', 'result 2: the case could not run'][code]);
	await site.stop();
	process.exit(code); // eslint-disable-line unicorn/no-process-exit
};
