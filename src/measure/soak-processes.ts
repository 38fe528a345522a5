/**
Processes of a soak run: starts, pauses, kills and restarts them, each by its process id.
*/
import {spawn, type ChildProcess} from 'node:child_process';
import {randomInt} from 'node:crypto';
import {
	createWriteStream, mkdtempSync, readFileSync, writeFileSync, type WriteStream,
} from 'node:fs';
import {createServer, type Server} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {type HostEvent} from '../standin/host-events.ts';

/** Roles of processes. */
export enum Role {
	Log = 'log',
	Entry = 'entry',
	Upstream = 'upstream',
	Worker = 'worker',
}

/** A process that the run started. */
export type SoakProcess = {
	name: string;
	role: Role;
	args: string[];
	/** Number of starts so far. */
	incarnation: number;
	child?: ChildProcess;
	isPaused: boolean;
	/** Exits that the run did not cause. */
	crashes: number;
	startedAtMs: number;
};

/** Resident memory and processor time of a running process. */
export type ProcessUsage = {
	residentMb: number;
	cpuMs: number;
};

const kilobyte = 1024;
const pageKilobytes = 4;
const msPerTick = 10;

/** Starts and stops the processes of one run. */
export class ProcessPool {
	readonly directory = mkdtempSync(path.join(tmpdir(), 'chervilworks-soak-'));
	readonly processes: SoakProcess[] = [];
	readonly #binary: string;
	readonly #onEvent: (event: HostEvent) => void;
	readonly #logs = new Map<string, WriteStream>();

	constructor(binary: string, onEvent: (event: HostEvent) => void) {
		this.#binary = binary;
		this.#onEvent = onEvent;
	}

	add(name: string, role: Role, args: string[]): SoakProcess {
		const added: SoakProcess = {
			name, role, args, incarnation: 0, isPaused: false, crashes: 0, startedAtMs: 0,
		};
		this.processes.push(added);
		this.start(added);
		return added;
	}

	start(target: SoakProcess): void {
		const child = spawn(process.execPath, [this.#binary, ...target.args], {stdio: ['ignore', 'pipe', 'pipe']});
		target.child = child;
		target.incarnation++;
		target.isPaused = false;
		target.startedAtMs = Date.now();
		child.stderr.pipe(this.#getLog(target.name), {end: false});
		createInterface({input: child.stdout}).on('line', line => {
			if (line.startsWith('{')) {
				this.#onEvent(JSON.parse(line) as HostEvent);
			}
		});
		child.once('exit', () => {
			if (target.child === child) {
				target.child = undefined;
				target.crashes++;
			}
		});
	}

	/** Kills the process; resolves when it has exited. */
	async kill(target: SoakProcess): Promise<void> {
		await this.#end(target, 'SIGKILL');
	}

	/** Requests a graceful shutdown; resolves when the process has exited. */
	async terminate(target: SoakProcess): Promise<void> {
		await this.#end(target, 'SIGTERM');
	}

	pause(target: SoakProcess): void {
		target.isPaused = target.child?.kill('SIGSTOP') ?? false;
	}

	resume(target: SoakProcess): void {
		target.child?.kill('SIGCONT');
		target.isPaused = false;
	}

	async stopAll(): Promise<void> {
		for (const target of this.processes) {
			this.resume(target);
		}

		await Promise.all(this.processes.map(async target => this.kill(target)));
		for (const log of this.#logs.values()) {
			log.end();
		}
	}

	/** Reads resident memory and processor time of a running process. */
	getUsage(target: SoakProcess): ProcessUsage | undefined {
		try {
			const pid = target.child!.pid!;
			const resident = Number(readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[1]) * pageKilobytes;
			const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
			return {residentMb: resident / kilobyte, cpuMs: (Number(fields[11]) + Number(fields[12])) * msPerTick};
		} catch {
			return undefined;
		}
	}

	/** Writes a file for a process; returns its path. */
	writeFile(name: string, content: string): string {
		const file = path.join(this.directory, name);
		writeFileSync(file, content);
		return file;
	}

	async #end(target: SoakProcess, signal: NodeJS.Signals): Promise<void> {
		const {child} = target;
		if (!child) {
			return;
		}

		const exited = new Promise<void>(resolve => {
			child.once('exit', () => {
				resolve();
			});
		});
		target.child = undefined;
		child.kill(signal);
		await exited;
	}

	#getLog(name: string): WriteStream {
		let log = this.#logs.get(name);
		if (!log) {
			log = createWriteStream(path.join(this.directory, `${name}.log`));
			this.#logs.set(name, log);
		}

		return log;
	}
}

/** Operating systems assign ports from here on to outgoing connections, which could take such a port after it was chosen and before it is bound. */
const portsEnd = 32_768;
const portsStart = 10_000;

/** Listens on the port; undefined if it is taken. */
const tryListen = async (port: number): Promise<Server | undefined> => new Promise(resolve => {
	const server = createServer();
	server.once('error', () => {
		resolve(undefined);
	});
	server.listen(port, '127.0.0.1', () => {
		resolve(server);
	});
});

/** Finds ports that are free on loopback and outside the range for outgoing connections. */
export const findFreePorts = async (count: number): Promise<number[]> => {
	const servers = new Map<number, Server>();
	while (servers.size < count) {
		const port = randomInt(portsStart, portsEnd);
		const server = await tryListen(port);
		if (server) {
			servers.set(port, server);
		}
	}

	await Promise.all([...servers.values()].map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return [...servers.keys()];
};
