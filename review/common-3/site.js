/**
A small site of the project's own programs as separate processes on loopback addresses, started with the commands of the deploy file, with
stand-ins for the store, the minions and the clients.
*/
import {spawn} from 'node:child_process';
import {
	appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {request as sendRequest} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {Minion} from './minion.js';
import {Store} from './store.js';

const repository = path.join(path.dirname(fileURLToPath(import.meta.url)), '..', '..');
const restartMs = 300;

export const queueHost = 'desk.example';
export const queuePrefix = '/issue/';
const service = 'lading-desk';
const zones = ['leith-hall', 'govan-hall', 'grange-hall'];

export const sleep = async ms => new Promise(resolve => {
	setTimeout(resolve, ms);
});

/** Commands of the roles, as the deploy file gives them. */
const readCommands = () => {
	const text = readFileSync(path.join(repository, 'deploy', 'system.toml'), 'utf8');
	return Object.fromEntries([...text.matchAll(/\[roles\.(\w+)]\s+run = "([^"]+)"/g)].map(([, role, run]) => [role, run.split(' ')]));
};

/** A site. */
export class Site {
	store;
	entries = [];
	agents = [];
	minions = [];
	/** Processes that ended by themselves. */
	ends = [];
	#options;
	#startedAtMs = performance.now();
	#directory = mkdtempSync(path.join(tmpdir(), 'review-3-'));
	#network = `127.${64 + ((process.pid >> 8) & 127)}.${process.pid & 255}`;
	#commands = readCommands();
	#isStopping = false;
	#recordPath;

	/** Options: folder of the case, number of entries and minions, keepS, maxAttempts, hasBorn, onStart and onEnd of minions. */
	constructor(options) {
		this.#options = {
			entries: 3, minions: 4, keepS: 300, maxAttempts: 4, hasBorn: false, ...options,
		};
		this.#recordPath = path.join(options.folder, 'record.txt');
		writeFileSync(this.#recordPath, '');
		this.store = new Store({parts: 8, keepMs: this.#options.keepS * 1000});
		for (const signal of ['SIGINT', 'SIGTERM']) {
			process.once(signal, () => {
				this.stop();
				process.exit(2);
			});
		}
	}

	/** Writes a line of the record. */
	record(text) {
		appendFileSync(this.#recordPath, `${((performance.now() - this.#startedAtMs) / 1000).toFixed(3)} ${text}\n`);
	}

	async start() {
		const {entries, minions, maxAttempts} = this.#options;
		this.store.put('keyed.op', 'config', JSON.stringify({
			version: 1,
			routes: [{
				name: 'issue', host: queueHost, pathPrefix: queuePrefix, service, maxAttempts, stretch: 2, targetLatencyMs: 1000, timeoutMs: 3000,
			}],
			services: [{name: service}],
			limits: {},
		}));
		for (let index = 0; index < entries; index++) {
			await this.#addEntry(index);
		}

		for (let index = 0; index < minions; index++) {
			await this.#addAgent(index);
		}
	}

	/** Waits until all entries are ready; returns whether they are in time. */
	async waitUntilReady(boundMs = 20_000) {
		const endMs = performance.now() + boundMs;
		while (performance.now() < endMs) {
			const answers = await Promise.all(this.entries.map(async ({ready}) => call(ready, 'GET', '/readiness', {timeoutMs: 500})));
			if (answers.every(({status}) => status === 200)) {
				this.record('all entries are ready');
				return true;
			}

			await sleep(100);
		}

		return false;
	}

	/** The entry that holds the partition of the jobs, as the store knows. */
	findOwner() {
		const [part] = this.store.getUsedPartitions('workflows');
		const member = part === undefined ? undefined : this.store.getHolder('owners', 'workflows', part);
		return this.entries.find(({ip}) => member?.startsWith(`${ip}:`));
	}

	/** A client's request to an entry; records what was sent and answered. */
	async ask(entry, method, id, {body, deadlineMs = 3000} = {}) {
		this.record(`client sends ${method} ${id} to ${entry.name}`);
		const answer = await call(entry.callers, method, queuePrefix + id, {
			body, timeoutMs: deadlineMs, headers: {host: queueHost, 'deadline-ms': String(deadlineMs)},
		});
		this.record(`client gets ${answer.status ?? `no answer (${answer.error})`} ${answer.text ?? ''} for ${method} ${id} from ${entry.name}`);
		return answer;
	}

	/** Freezes or wakes a process. */
	freeze(machine) {
		this.record(`${machine.name} freezes`);
		machine.child.kill('SIGSTOP');
	}

	wake(machine) {
		this.record(`${machine.name} wakes`);
		machine.child.kill('SIGCONT');
	}

	/** Kills a process; it is started again after a short time. */
	kill(machine, downMs = restartMs) {
		this.record(`${machine.name} is killed`);
		machine.isKilled = true;
		machine.downMs = downMs;
		machine.child.kill('SIGKILL');
	}

	/** Takes a side machine away for good, with its minion. */
	remove(agent) {
		this.record(`${agent.name} is lost for good, with its minion ${agent.minion.id}`);
		agent.isGone = true;
		agent.child.kill('SIGKILL');
		agent.minion.stop();
		agent.minion.running.clear();
	}

	stop() {
		this.#isStopping = true;
		for (const {child} of [...this.entries, ...this.agents]) {
			child?.kill('SIGKILL');
		}

		for (const minion of this.minions) {
			minion.stop();
		}

		this.store.close();
		rmSync(this.#directory, {recursive: true, force: true});
	}

	async #addEntry(index) {
		const ip = `${this.#network}.${index + 1}`;
		const zone = zones[index % zones.length];
		const entry = {
			name: `frontend-${zone}-1`, role: 'entry', ip, callers: `${ip}:8161`, ready: `${ip}:8167`,
		};
		await this.store.listen(entry.name, ip, 8169);
		this.#start(entry, `machineClass = "frontend"
serves = ["frontend"]
zone = "${zone}"
[listenAddrs]
frontendAddr = "${entry.callers}"
ready = "${entry.ready}"
[limits]
cpuShare = 0.27
cores = 1
memoryMb = 350
maxFds = 4100
linkMbps = 1000.0
diskMb = 0`);
		this.entries.push(entry);
	}

	async #addAgent(index) {
		const ip = `${this.#network}.${index + 50}`;
		const zone = zones[index % zones.length];
		const agent = {name: `side-${zone}-${Math.floor(index / zones.length) + 1}`, role: 'agent', ip};
		const {hasBorn, onStart, onEnd, onNoted, isTerse} = this.#options;
		await this.store.listen(agent.name, ip, 8169);
		const minion = new Minion({
			name: String(index), app: `${ip}:8080`, control: `${ip}:8166`, service, zone, rack: `r1-${index % 4}`, hasBorn, stopGraceMs: 200, maxHoldMs: 6000,
			capacity: {cpu: 16_000, memMb: 62_500, gpu: 0},
			record: text => {
				if (!isTerse) {
					this.record(text);
				}
			},
			onStart, onEnd, onNoted,
		});
		this.minions.push(minion);
		agent.minion = minion;
		this.#start(agent, `machineClass = "side"
serves = ["side"]
zone = "${zone}"
app = "${ip}:8080"
service = "${service}"
[listenAddrs]
control = "${ip}:8166"
[limits]
cpuShare = 0.405
cores = 1
memoryMb = 218
maxFds = 4096
linkMbps = 1000.0
diskMb = 0`);
		this.agents.push(agent);
		await minion.start();
	}

	#start(machine, ownSettings) {
		const {keepS} = this.#options;
		const settingsPath = path.join(this.#directory, `${machine.name}.toml`);
		writeFileSync(settingsPath, `nodeName = "${machine.name}"
role = "${machine.role}"
ip = "${machine.ip}"
region = "scot-central"
internalPorts = [7720, 7735]
heartbeatMs = 1500
orders = "call"
${ownSettings}
[bounds]
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
configApplyMs = 2000
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
paceMs = 100
harmMs = 4000
[platform]
address = "${machine.ip}:8169"
form = "log"
writesPerS = 800
readsPerS = 2000
parts = 8
appendMs = 4.0
recordBytes = 262144
callBytes = 2097152
keep_s = ${keepS}
partitionMb = 200
minTtlMs = 1000
`);
		machine.run = () => {
			const [, ...args] = this.#commands[machine.role];
			const child = spawn(process.execPath, args, {
				cwd: repository, env: {PATH: process.env.PATH, HOME: process.env.HOME, CHERVILWORKS_BOOT: settingsPath}, stdio: ['ignore', 'pipe', 'pipe'],
			});
			machine.child = child;
			const keep = chunk => {
				if (process.env.SHOW_LOGS) {
					const lines = String(chunk).split('\n').filter(Boolean);
					appendFileSync(process.env.SHOW_LOGS, lines.map(line => `${((performance.now() - this.#startedAtMs) / 1000).toFixed(3)} ${machine.name} ${line}\n`).join(''));
				}
			};

			child.stdout.on('data', keep);
			child.stderr.on('data', keep);
			child.once('exit', (code, signal) => {
				if (this.#isStopping || machine.isGone) {
					return;
				}

				if (!machine.isKilled) {
					this.ends.push(`${machine.name}: code ${code}, signal ${signal}`);
					this.record(`${machine.name} ended by itself: code ${code}, signal ${signal}`);
				}

				machine.isKilled = false;
				setTimeout(() => {
					if (!this.#isStopping) {
						this.record(`${machine.name} starts again`);
						machine.run();
					}
				}, machine.downMs ?? restartMs);
			});
		};

		machine.run();
	}
}

/** Sends a request; resolves to its status and body, or to an error without a status. */
export const call = async (address, method, target, {body, headers = {}, timeoutMs}) => new Promise(resolve => {
	const [host, port] = address.split(':');
	const text = body === undefined ? undefined : JSON.stringify(body);
	let isDone = false;
	const finish = answer => {
		if (!isDone) {
			isDone = true;
			clearTimeout(timer);
			resolve(answer);
		}
	};

	const request = sendRequest({
		host, port, method, path: target, agent: false, headers: {...headers, ...(text !== undefined && {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)})},
	}, response => {
		const chunks = [];
		response.on('data', chunk => chunks.push(chunk));
		response.on('error', () => finish({error: 'broken off'}));
		response.on('end', () => {
			const answer = Buffer.concat(chunks).toString();
			let parsed;
			try {
				parsed = JSON.parse(answer);
			} catch {
				parsed = undefined;
			}

			finish({status: response.statusCode, text: answer, json: parsed});
		});
	});
	const timer = setTimeout(() => {
		finish({error: 'deadline'});
		request.destroy();
	}, timeoutMs);
	request.on('error', error => finish({error: error.message}));
	request.end(text);
});

/** Runs a case: exits with 1 if it resolves to true (the rule was broken), 0 if to false, 2 if it could not run. */
export const runCase = async (options, play) => {
	const site = new Site(options);
	let code = 2;
	try {
		await site.start();
		if (await site.waitUntilReady()) {
			const isBroken = await play(site, process.env.TROUBLE !== '0');
			if (isBroken !== undefined) {
				code = isBroken ? 1 : 0;
			}
		}
	} catch (error) {
		site.record(`the case could not run: ${error.stack}`);
	} finally {
		site.record(code === 1 ? 'the rule was broken' : (code === 0 ? 'the rule held' : 'the case could not run'));
		site.stop();
	}

	process.exit(code); // eslint-disable-line unicorn/no-process-exit
};
