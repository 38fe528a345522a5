/**
Measures the resident memory of a bare Node.js process, of an idle guard and of an idle entry. Needs the bundle `dist/chervilworks.cjs`.
*/
import {type ChildProcess, spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {findFreePorts} from '../src/measure/soak-processes.ts';

/** Resident memory of each process, and its excess over a bare Node.js process, in MB. */
export type ResidentMemory = Array<{name: string; residentMb: number; aboveBareMb: number}>;

const warmUpMs = 6000;
const bundle = 'dist/chervilworks.cjs';
const pageBytes = 4096;
const megabyte = 1024 * 1024;

/** Starts the processes, waits until their memory is stable, reads their resident memory and ends them. */
export const measureResidentMemory = async (): Promise<ResidentMemory> => {
	const directory = mkdtempSync(path.join(tmpdir(), 'chervilworks-memory-'));
	const ports = await findFreePorts(5);
	const [caller, control, peer, guard, log] = ports.map(port => `127.0.0.1:${port}`) as [string, string, string, string, string];
	const settings = path.join(directory, 'settings.ini');
	writeFileSync(settings, [
		'[process]',
		'id = desk-1',
		'[entry]',
		`callerAddress = ${caller}`,
		`controlAddress = ${control}`,
		`peerAddress = ${peer}`,
		'[log]',
		`url = http://${log}`,
		'[guard]',
		`address = ${guard}`,
		`upstreamAddress = ${caller}`,
		`entryAddresses = ${control}`,
		'service = lading-desk',
		'',
	].join('\n'));
	const commands: Array<[string, string[]]> = [
		['bare Node.js (`setInterval` only)', ['--eval', 'setInterval(() => undefined, 1000)']],
		['guard, idle', [bundle, 'guard', '--settings', settings]],
		['entry, idle', [bundle, 'entry', '--settings', settings]],
	];
	const logProcess = start([bundle, 'standin', 'log', '--address', log]);
	const running = commands.map(([name, args]) => ({name, child: start(args)}));
	await new Promise(resolve => {
		setTimeout(resolve, warmUpMs);
	});
	const memory = running.map(({name, child}) => ({name, residentMb: readResidentMb(name, child)}));
	for (const child of [logProcess, ...running.map(({child: other}) => other)]) {
		child.kill('SIGKILL');
	}

	return memory.map(({name, residentMb}) => ({name, residentMb, aboveBareMb: residentMb - memory[0]!.residentMb}));
};

const start = (args: string[]): ChildProcess => spawn(process.execPath, args, {stdio: 'ignore'});

const readResidentMb = (name: string, {pid, exitCode}: ChildProcess): number => {
	if (exitCode !== null || pid === undefined) {
		throw new Error(`process "${name}" exited with code ${exitCode} before its memory was read`);
	}

	return Number(readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[1]) * pageBytes / megabyte;
};
