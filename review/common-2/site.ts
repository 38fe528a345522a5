/**
A small deployment on loopback addresses: the project's entries and agents as separate processes with the commands of the deploy file, and
stand-ins for the store, the minions, the operator and the clients. Writes what was sent, answered and run to a record.
*/
import {Buffer} from 'node:buffer';
import {spawn, type ChildProcess} from 'node:child_process';
import {
	createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync, type WriteStream,
} from 'node:fs';
import {request as sendRequest} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {configKey, operatorTopic} from '../../src/platform/site-config.ts';
import {MemoryStore} from '../../src/standin/memory-store.ts';
import {createSystemClock} from '../../src/utils/system-clock.ts';
import {serveStore} from '../../test/perf/store-server.ts';
import {
	Gangs, Minion, type MinionBounds, type RunEvent, type TaskPlan,
} from './minion.ts';

/** A step as clients send it. */
export type Step = {count: number; cpu: number; memMb: number; estimateMs: number; after?: number[]; checkpointing?: boolean; gang?: boolean; longRunning?: boolean; requirements?: string};

/** A job as its client knows it. */
export type Job = {
	id: string;
	queue: string;
	steps: Step[];
	/** Work of a task of each step. */
	workMs: number[];
	sentAtMs: number;
	/** Status of each attempt to hand it in; 0: no answer. */
	statuses: number[];
	acceptedAtMs?: number;
};

/** A route of the configuration. */
export type Route = {name: string; service: string; maxAttempts: number};

type Program = {name: string; child: ChildProcess};

/** A machine with a minion. */
export type Side = {name: string; minion: Minion; settingsPath: string};

const host = 'nony24.example';
const deadlineMs = 3000;
const retries = 4;
const partitions = 8;
const graceMs = 6000;
const readyWithinMs = 25_000;
/** Exit code of a case in which the rule was broken: an error of the script itself ends with 1. */
const brokenCode = 10;

/** Bounds of the deployment, as `DEPLOY.md` shows them. */
export const bounds: MinionBounds = {
	maxHoldMs: 6000, stopGraceMs: 200, gangTimeoutMs: 3000, checkpointMs: 1000, restoreMs: 600, heartbeatMs: 1500,
};

const formatSettings = (name: string, ip: string, zone: string, store: string): string => `nodeName = "${name}"
ip = "${ip}"
zone = "${zone}"
region = "scot-central"
internalPorts = [7720,7735]
heartbeatMs = ${bounds.heartbeatMs}
orders = "call"
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
[bounds]
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = ${graceMs / 1000}
configApplyMs = 2000
maxHoldMs = ${bounds.maxHoldMs}
stopGraceMs = ${bounds.stopGraceMs}
gangTimeoutMs = ${bounds.gangTimeoutMs}
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
farFactor = 1.5
checkpointS = ${bounds.checkpointMs / 1000}
restoreMs = ${bounds.restoreMs}
noticeMs = 4500
enforceFencing = true
[platform]
address = "${store}"
form = "log"
writesPerS = 800
readsPerS = 2000
parts = ${partitions}
appendMs = 4.0
partMbS = 20.0
readMbS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partitionMb = 200
minTtlMs = 1000
`;

/** Commands of the deploy file, by role. */
const readCommands = (): Record<string, string[]> => Object.fromEntries([...readFileSync('deploy/system.toml', 'utf8').matchAll(/\[roles\.(\w+)]\s+run = "([^"]+)"/g)]
	.map(([, role, command]) => [role!, command!.split(' ')]));

const sleep = async (ms: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, ms);
});

/** The deployment. */
export class Site {
	readonly events: RunEvent[] = [];
	readonly jobs = new Map<string, Job>();
	readonly sides: Side[] = [];
	/** Processes of the system that ended by themselves. */
	readonly crashes: string[] = [];
	readonly #store = new MemoryStore(createSystemClock(), partitions);
	readonly #commands = readCommands();
	readonly #directory = mkdtempSync(join(tmpdir(), 'review-'));
	// Addresses of its own, so that runs side by side do not meet.
	readonly #network = `127.${64 + ((process.pid >> 8) & 127)}.${process.pid & 255}`;
	readonly #programs: Program[] = [];
	readonly #entries: string[] = [];
	readonly #gangs = new Gangs();
	readonly #record: WriteStream;
	readonly #startedAtMs = performance.now();
	#storeAddress = '';
	#closeStore: (() => void) | undefined;
	#isEnding = false;
	#nextEntry = 0;
	#jobNumber = 0;

	constructor(recordPath: string) {
		this.#record = createWriteStream(recordPath);
		process.once('exit', () => {
			this.#killAll();
		});
		for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
			process.once(signal, () => {
				process.exit(2);
			});
		}
	}

	/** Time since the start of the run. */
	get nowMs(): number {
		return Math.round(performance.now() - this.#startedAtMs);
	}

	/** Time since the start of the run, of a reading of the process's clock. */
	toRunTime(atMs: number): number {
		return Math.round(atMs - this.#startedAtMs);
	}

	note(text: string): void {
		this.#record.write(`${(this.nowMs / 1000).toFixed(3)} ${text}\n`);
	}

	async startStore(): Promise<void> {
		const {server, address} = await serveStore(this.#store);
		this.#storeAddress = address;
		this.#closeStore = () => {
			server.close();
			server.closeAllConnections();
		};
	}

	/** The operator writes a configuration; the store's answer is the acknowledgement. */
	configure(version: number, routes: Route[], services: string[]): void {
		this.#store.put({topic: operatorTopic, partition: 0}, configKey, Buffer.from(JSON.stringify({
			version,
			routes: routes.map(({name, service, maxAttempts}) => ({
				name, host, pathPrefix: `/${name}/`, service, priority: 0, maxAttempts, stretch: 2, targetLatencyMs: 1000, timeoutMs: 3000,
			})),
			services: services.map(name => ({name, enforcesCapacity: false})),
			limits: {},
		})));
		this.note(`operator: configuration ${version}, routes ${routes.map(({name, service}) => `${name} to ${service}`).join(', ')}`);
	}

	addEntry(): void {
		const index = this.#entries.length + 1;
		const name = `frontend-${index}`;
		const ip = `${this.#network}.${index}`;
		this.#entries.push(ip);
		this.#spawn('entry', name, `${formatSettings(name, ip, `hall-${index}`, this.#storeAddress)}[listenAddrs]
frontendAddr = "${ip}:8161"
ready = "${ip}:8167"
[limits]
cpuShare = 0.27
cores = 1
memoryMb = 350
linkMbps = 1000.0
`);
	}

	async addSide(service: string, {labels = ['a'], cpu = 16_000, memMb = 64_000}: {labels?: string[]; cpu?: number; memMb?: number} = {}): Promise<Side> {
		const index = this.sides.length + 1;
		const name = `side-${index}`;
		const ip = `${this.#network}.${50 + index}`;
		const zone = `hall-${1 + (index % 3)}`;
		const minion = new Minion({
			service,
			zone,
			labels: [...labels, `r1-${Math.ceil(index / 3)}`],
			cpu,
			memMb,
			app: `${ip}:8165`,
			control: `${ip}:8166`,
			bounds,
			gangs: this.#gangs,
			getPlan: task => this.#getPlan(task),
			onEvent: event => {
				if (this.#isEnding) {
					return;
				}

				this.events.push(event);
				const {minion: id, event: what, task, run, how = '', checkpoint = ''} = event;
				this.note(`minion ${id} of ${service} on ${name}: ${what} ${task} run ${run} ${how}${checkpoint === '' ? '' : ` checkpoint ${checkpoint}`}`);
			},
		});
		const settingsPath = this.#spawn('agent', name, `app = "${ip}:8165"
service = "${service}"
${formatSettings(name, ip, zone, this.#storeAddress)}[listenAddrs]
control = "${ip}:8166"
[limits]
cpuShare = 0.405
cores = 1
memoryMb = 218
linkMbps = 1000.0
`);
		await minion.start();
		const side = {name, minion, settingsPath};
		this.sides.push(side);
		return side;
	}

	/** Resolves to whether all entries are ready in time. */
	async waitUntilReady(): Promise<boolean> {
		const endMs = this.nowMs + readyWithinMs;
		while (this.nowMs < endMs) {
			const statuses = await Promise.all(this.#entries.map(async ip => this.#call(`${ip}:8167`, 'GET', '/readiness')));
			if (statuses.every(({status}) => status === 200)) {
				return true;
			}

			await sleep(100);
		}

		return false;
	}

	/** Hands a job in, with the retries of a client. */
	async submit(queue: string, steps: Step[], workMs: number[]): Promise<Job> {
		const id = (0x51_00_00_00_00_00 + (++this.#jobNumber * 0x1_00_01)).toString(16).padStart(16, '0');
		const job: Job = {
			id, queue, steps, workMs, sentAtMs: this.nowMs, statuses: [],
		};
		this.jobs.set(id, job);
		const body = JSON.stringify({spec: JSON.stringify({workMs}), steps});
		for (let attempt = 0; attempt <= retries; attempt++) {
			const {status} = await this.#call(this.#chooseEntry(), 'POST', `/${queue}/${id}`, body);
			job.statuses.push(status);
			this.note(`client: POST /${queue}/${id} answered ${status}`);
			if (status >= 200 && status < 300) {
				job.acceptedAtMs = this.nowMs;
				break;
			}

			await sleep(500);
		}

		return job;
	}

	/** Asks for a job's state; undefined without an answer. */
	async getState({queue, id}: Job): Promise<{status: number; state?: string}> {
		const {status, text} = await this.#call(this.#chooseEntry(), 'GET', `/${queue}/${id}`);
		const state = status === 200 ? (JSON.parse(text) as {state: string}).state : undefined;
		return {status, ...(state !== undefined && {state})};
	}

	/** Asks until the job is over or the time has passed; resolves to the last state. */
	async waitForEnd(job: Job, timeoutMs: number): Promise<string | undefined> {
		const endMs = this.nowMs + timeoutMs;
		let last: string | undefined;
		while (this.nowMs < endMs) {
			const {status, state} = await this.getState(job);
			if (state !== last) {
				this.note(`client: GET /${job.queue}/${job.id} answered ${status} ${state ?? ''}`);
			}

			last = state ?? last;
			if (state === 'completed' || state === 'failed' || state === 'cancelled') {
				break;
			}

			await sleep(300);
		}

		return last;
	}

	async end(): Promise<void> {
		this.#isEnding = true;
		for (const {minion} of this.sides) {
			minion.close();
		}

		const exits = this.#programs.map(async ({child}) => new Promise<void>(resolve => {
			if (child.exitCode !== null || child.signalCode !== null) {
				resolve();
				return;
			}

			child.once('exit', () => {
				resolve();
			});
		}));
		this.#killAll();
		await Promise.all(exits);
		this.#closeStore?.();
		rmSync(this.#directory, {recursive: true, force: true});
		await new Promise<void>(resolve => {
			this.#record.end(() => {
				resolve();
			});
		});
	}

	#killAll(): void {
		this.#isEnding = true;
		for (const {child} of this.#programs) {
			child.kill('SIGKILL');
		}
	}

	#getPlan(task: string): TaskPlan {
		const [id, , step] = task.split('.');
		const job = this.jobs.get(id!);
		const spec = job?.steps[Number(step)];
		return {
			workMs: spec?.longRunning ? undefined : job?.workMs[Number(step)] ?? 0, gangSize: spec?.gang ? spec.count : 0, isCheckpointing: spec?.checkpointing ?? false,
		};
	}

	#chooseEntry(): string {
		return `${this.#entries[this.#nextEntry++ % this.#entries.length]!}:8161`;
	}

	#spawn(role: string, name: string, settings: string): string {
		const settingsPath = join(this.#directory, `${name}.toml`);
		writeFileSync(settingsPath, settings);
		const [program, ...args] = this.#commands[role]!;
		const child = spawn(program === 'node' ? process.execPath : program!, args, {
			env: {PATH: process.env.PATH, HOME: process.env.HOME, CHERVILWORKS_BOOT: settingsPath}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		const keep = process.env.KEEP_LOGS === undefined ? undefined : createWriteStream(join(process.env.KEEP_LOGS, `${name}.txt`));
		for (const stream of [child.stdout, child.stderr]) {
			stream.on('data', (chunk: Buffer) => {
				keep?.write(chunk);
			});
		}

		child.once('exit', (code, signal) => {
			if (!this.#isEnding) {
				this.crashes.push(`${name}: code ${code}, signal ${signal}`);
				this.note(`${name} ended by itself: code ${code}, signal ${signal}`);
			}
		});
		this.#programs.push({name, child});
		return settingsPath;
	}

	async #call(address: string, method: string, path: string, body?: string): Promise<{status: number; text: string}> {
		const [ip, port] = address.split(':');
		return new Promise(resolve => {
			const request = sendRequest({
				host: ip, port, method, path, agent: false, timeout: deadlineMs, headers: {host, 'deadline-ms': String(deadlineMs), ...(body !== undefined && {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)})},
			}, response => {
				const chunks: Buffer[] = [];
				response.on('data', (chunk: Buffer) => {
					chunks.push(chunk);
				});
				response.on('end', () => {
					resolve({status: response.statusCode ?? 0, text: Buffer.concat(chunks).toString()});
				});
				response.on('error', () => {
					resolve({status: 0, text: ''});
				});
			});
			request.on('timeout', () => {
				request.destroy();
			});
			request.on('error', () => {
				resolve({status: 0, text: ''});
			});
			request.end(body);
		});
	}
}

/** Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export const runCase = async (name: string, play: (site: Site, hasTrouble: boolean) => Promise<string[]>): Promise<void> => {
	const site = new Site(join('review', name, 'record.txt'));
	let code = 2;
	try {
		await site.startStore();
		const broken = await play(site, process.env.TROUBLE !== '0');
		for (const line of broken) {
			site.note(`BROKEN ${line}`);
		}

		site.note(broken.length > 0 ? `the rule was broken ${broken.length} times` : 'the rule held');
		console.log(`${broken.length} breaks of the rule${broken.length > 0 ? `, the first: ${broken[0]}` : ''}`);
		code = broken.length > 0 ? brokenCode : 0;
	} catch (error) {
		site.note(`the case could not run: ${String(error)}`);
		console.error(error);
	}

	await site.end();
	process.exit(code); // eslint-disable-line unicorn/no-process-exit
};

export {sleep};
