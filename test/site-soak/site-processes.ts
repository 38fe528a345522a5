/**
The processes of a site under test: starts, pauses, kills and restarts them, each by its own id, and collects their logs.
*/
import {spawn, type ChildProcess} from 'node:child_process';
import {
	appendFileSync, mkdtempSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';

/** Roles of processes. */
export enum SiteRole {
	Entry = 'entry',
	Agent = 'agent',
}

/** A process of the site. */
export type SiteProcess = {
	name: string;
	role: SiteRole;
	settingsPath: string;
	child?: ChildProcess;
	isPaused: boolean;
	/** Whether it is kept down by a fault, which starts it again. */
	isHeldDown: boolean;
	/** Whether its host is gone, so that nothing starts it again. */
	isGone: boolean;
};

/** A line of a process's log. */
export type LogLine = {time: number; process: string; text: string};

const heapMbByRole = {[SiteRole.Entry]: 220, [SiteRole.Agent]: 110};
const restartAfterExitMs = 200;

/** Starts and ends the processes of one run. */
export class SiteProcesses {
	readonly directory = mkdtempSync(join(tmpdir(), 'site-soak-'));
	readonly all: SiteProcess[] = [];
	readonly lines: LogLine[] = [];
	/** Exits that no fault caused. */
	readonly crashes: string[] = [];
	#isStopping = false;
	readonly #program: string;
	constructor(program: string) {
		this.#program = program;
		process.once('exit', () => {
			this.killAll();
		});
		for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
			process.once(signal, () => {
				process.exit(1);
			});
		}
	}

	add(name: string, role: SiteRole, settings: string): SiteProcess {
		const settingsPath = join(this.directory, `${name}.toml`);
		writeFileSync(settingsPath, settings);
		const added: SiteProcess = {
			name, role, settingsPath, isPaused: false, isHeldDown: false, isGone: false,
		};
		this.all.push(added);
		this.start(added);
		return added;
	}

	start(target: SiteProcess): void {
		if (target.isGone || this.#isStopping || target.child) {
			return;
		}

		const child = spawn(process.execPath, [`--max-old-space-size=${heapMbByRole[target.role]}`, this.#program, target.role], {
			env: {...process.env, CHERVILWORKS_BOOT: target.settingsPath}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		target.child = child;
		target.isPaused = false;
		target.isHeldDown = false;
		createInterface({input: child.stdout}).on('line', line => {
			this.#record(target.name, line);
		});
		createInterface({input: child.stderr}).on('line', line => {
			this.crashes.push(`${target.name}: ${line}`);
			this.#record(target.name, line);
		});
		child.once('exit', (code, signal) => {
			if (target.child !== child) {
				return;
			}

			target.child = undefined;
			if (!target.isHeldDown && !this.#isStopping) {
				this.crashes.push(`${target.name} ended by itself: code ${code}, signal ${signal}`);
				setTimeout(() => {
					this.start(target);
				}, restartAfterExitMs);
			}
		});
	}

	/** Writes a line of the run itself into the record. */
	note(text: string, time = Date.now()): void {
		this.lines.push({time, process: 'soak', text});
	}

	/** Ends the process with the signal, SIGKILL after `graceMs`; resolves when it has exited. It stays down until it is started. */
	async end(target: SiteProcess, signal: NodeJS.Signals, graceMs: number): Promise<void> {
		const {child} = target;
		target.isHeldDown = true;
		if (!child) {
			return;
		}

		const timer = setTimeout(() => {
			child.kill('SIGKILL');
		}, graceMs);
		await new Promise<void>(resolve => {
			child.once('exit', () => {
				resolve();
			});
			child.kill(signal);
		});
		clearTimeout(timer);
	}

	pause(target: SiteProcess): void {
		target.isPaused = target.child?.kill('SIGSTOP') ?? false;
	}

	resume(target: SiteProcess): void {
		target.child?.kill('SIGCONT');
		target.isPaused = false;
	}

	/** Kills what runs, without waiting. */
	killAll(): void {
		this.#isStopping = true;
		for (const {child} of this.all) {
			child?.kill('SIGKILL');
		}
	}

	/** Ends all processes and writes the logs, or removes the directory. */
	async stop(isKept: boolean): Promise<void> {
		this.#isStopping = true;
		await Promise.all(this.all.map(async target => this.end(target, 'SIGKILL', 0)));
		if (isKept) {
			this.writeLogs();
		} else {
			rmSync(this.directory, {recursive: true});
		}
	}

	writeLogs(): void {
		this.lines.sort((a, b) => a.time - b.time);
		for (const {time, process: name, text} of this.lines) {
			appendFileSync(join(this.directory, 'all.log'), `${time} ${name} ${text}\n`);
		}
	}

	/** Lines that hold the text, sorted by time. */
	findLines(text: string): LogLine[] {
		return this.lines.filter(line => line.text.includes(text)).toSorted((a, b) => a.time - b.time);
	}

	#record(name: string, text: string): void {
		const time = /"time":(\d+)/.exec(text)?.[1];
		this.lines.push({time: time === undefined ? Date.now() : Number(time), process: name, text});
	}
}
