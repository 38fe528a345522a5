/**
Compares an entry's processor time per request with that of a bare pass-through, over real sockets on loopback. The measuring
process starts the others and stops them.
*/
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {build} from 'hdr-histogram-js';
import {Agent, request} from 'undici';
import {ConfigFold} from '../core/config-fold.ts';
import {getChanges, publishChanges} from '../core/config-publisher.ts';
import {parseConfigText} from '../core/config-text.ts';
import {createError, ErrorCode, getMessage} from '../core/errors.ts';
import {createLogClient} from '../plugins/log-client.ts';
import {callJson} from '../utils/json-client.ts';
import {createRandom} from '../utils/seeded-random.ts';
import {createSystemClock} from '../utils/system-clock.ts';
import {type MeasureOptions, type MeasureReport, type MeasureRow} from './measure-types.ts';
import {
	findFreePorts, ProcessPool, Role, type SoakProcess,
} from './soak-processes.ts';

const service = 'lading-desk';
const region = 'scot-central';
const upstreamCount = 3;
/** Below the number of slots of all upstreams, so that nothing queues. */
const concurrency = 12;
const rounds = 3;
const warmUpMs = 1500;
const readyMs = 15_000;
const callTimeoutMs = 2000;

type Path = {
	name: string;
	address: string;
	target: SoakProcess;
};

type Tally = {
	answers: number;
	failures: number;
	cpuMs: number;
	latencyUs: ReturnType<typeof build>;
};

/** Measures both alternately. Only the bundled program can start itself as other processes. */
export const measureCpu = async ({seed, seconds, onProgress}: MeasureOptions): Promise<MeasureReport> => {
	const program = process.argv[1]!;
	if (program.endsWith('.ts')) {
		throw createError(ErrorCode.BadInput, {step: 'measure processor time', peer: program, detail: 'run it from the bundle, dist/chervilworks.cjs'});
	}

	const pool = new ProcessPool(program, () => undefined);
	try {
		const paths = await startAll(pool);
		const tallies = paths.map(() => createTally());
		for (let round = 0; round < rounds; round++) {
			for (const [index, path] of paths.entries()) {
				onProgress((round * paths.length) + index, rounds * paths.length, path.name);
				await load(path, warmUpMs, createTally());
				await measurePath(pool, path, seconds * 1000, tallies[index]!);
			}
		}

		const rows = paths.map(({name}, index) => createRow(name, tallies[index]!));
		const [entry, bare] = rows.map(({figures}) => figures.cpuMsPerRequest!);
		return {
			matter: 'processor time of requests', seed, seconds, rows, notes: [`The entry takes ${(entry! / bare!).toFixed(2)} times the processor time of the pass-through.`],
		};
	} finally {
		await pool.stopAll();
	}
};

const createTally = (): Tally => ({
	answers: 0, failures: 0, cpuMs: 0, latencyUs: build(),
});

const createRow = (name: string, {answers, failures, cpuMs, latencyUs}: Tally): MeasureRow => ({
	labels: {path: name},
	figures: {
		answers,
		failures,
		cpuMsPerRequest: cpuMs / answers,
		p50Ms: latencyUs.getValueAtPercentile(50) / 1000,
		p99Ms: latencyUs.getValueAtPercentile(99) / 1000,
	},
});

const startAll = async (pool: ProcessPool): Promise<Path[]> => {
	const ports = await findFreePorts(5 + upstreamCount);
	const [log, caller, control, peer, bare, ...upstreams] = ports.map(port => `127.0.0.1:${port}`) as [string, string, string, string, string, ...string[]];
	pool.add('log', Role.Log, ['standin', 'log', '--address', log]);
	for (const [index, address] of upstreams.entries()) {
		pool.add(`upstream-${index}`, Role.Upstream, [
			'standin', 'upstream', '--id', `desk-${index}`, '--service', service, '--region', region, '--failure-domain', 'leith-hall', '--entries', control, '--address', address,
		]);
	}

	const settings = pool.writeFile('entry.ini', [
		'[process]', 'id = entry-1', `region = ${region}`, 'failureDomain = leith-hall', '[entry]', `callerAddress = ${caller}`, `controlAddress = ${control}`, `peerAddress = ${peer}`, '[log]', `url = http://${log}`, '',
	].join('\n'));
	const entry = pool.add('entry-1', Role.Entry, ['entry', '--settings', settings]);
	const passThrough = pool.add('pass-through', Role.Upstream, ['measure', 'pass-through', '--address', bare, '--targets', upstreams.join(',')]);
	await publishService(`http://${log}`);
	const paths = [{name: 'entry', address: caller, target: entry}, {name: 'pass-through', address: bare, target: passThrough}];
	await Promise.all(paths.map(async path => waitUntilServing(path, control)));
	return paths;
};

const publishService = async (logUrl: string): Promise<void> => {
	const log = createLogClient(logUrl, callTimeoutMs);
	try {
		const {sections} = parseConfigText(`[service ${service}]\nregion = ${region}\n`);
		await publishChanges(getChanges(new ConfigFold(), sections), {
			log, clock: createSystemClock(), random: createRandom(), author: 'measure', timeoutMs: readyMs,
		});
	} finally {
		await log.stop();
	}
};

const waitUntilServing = async ({name, address}: Path, control: string): Promise<void> => {
	const endMs = Date.now() + readyMs;
	let lastFailure = 'no answer was received';
	while (Date.now() < endMs) {
		try {
			const {upstreams} = await callJson<{upstreams: unknown[]}>({
				method: 'GET', url: `http://${control}/v1/upstreams`, timeoutMs: callTimeoutMs, step: 'wait for upstreams',
			});
			const {statusCode, body} = await request(`http://${address}/${service}/check`);
			await body.dump();
			if (statusCode === 200 && upstreams.length === upstreamCount) {
				return;
			}

			lastFailure = `status ${statusCode}, ${upstreams.length} upstreams`;
		} catch (error) {
			lastFailure = getMessage(error);
		}

		await delay(100);
	}

	throw createError(ErrorCode.TimedOut, {step: 'wait until serving', peer: name, detail: lastFailure});
};

const measurePath = async (pool: ProcessPool, path: Path, durationMs: number, tally: Tally): Promise<void> => {
	const before = pool.getUsage(path.target);
	await load(path, durationMs, tally);
	const after = pool.getUsage(path.target);
	if (!before || !after) {
		throw createError(ErrorCode.PeerUnavailable, {step: 'read processor time', peer: path.name});
	}

	tally.cpuMs += after.cpuMs - before.cpuMs;
};

/** Keeps `concurrency` checks in flight for the duration. */
const load = async ({address}: Path, durationMs: number, tally: Tally): Promise<void> => {
	const agent = new Agent({connections: concurrency, pipelining: 1});
	const clock = createSystemClock();
	const endMs = clock.monotonicMs() + durationMs;
	const loop = async () => {
		while (clock.monotonicMs() < endMs) {
			const sentAtMs = clock.monotonicMs();
			const {statusCode, body} = await request(`http://${address}/${service}/check`, {dispatcher: agent});
			await body.dump();
			if (statusCode === 200) {
				tally.answers++;
				tally.latencyUs.recordValue(Math.round((clock.monotonicMs() - sentAtMs) * 1000));
			} else {
				tally.failures++;
			}
		}
	};

	await Promise.all(Array.from({length: concurrency}, async () => loop()));
	await agent.close();
};
