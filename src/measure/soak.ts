/**
A soak run: the whole system in real processes on loopback, with kills, pauses, restarts and an unreachable log,
chosen by a seed; watched by the promise checker from outside.
*/
import {ConfigFold} from '../core/config-fold.ts';
import {getChanges, publishChanges, readConfig} from '../core/config-publisher.ts';
import {parseConfigText} from '../core/config-text.ts';
import {createLogClient, type LogClient} from '../plugins/log-client.ts';
import {workerShape} from '../standin/hosts.ts';
import {type Clock} from '../types/clock.ts';
import {ConfigVerdict, type SectionChange} from '../types/config.ts';
import {JobState, TaskClass, type JobStatus} from '../types/jobs.ts';
import {type Resources} from '../types/platform.ts';
import {type Random} from '../types/random.ts';
import {callJson} from '../utils/http-client.ts';
import {createRandom} from '../utils/seeded-random.ts';
import {createSystemClock} from '../utils/system-clock.ts';
import {noteHostEvent} from './host-watch.ts';
import {PromiseChecker, type PromiseReport} from './promise-checker.ts';
import {SoakCallers, type CallerTally} from './soak-callers.ts';
import {
	findFreePorts, ProcessPool, Role, type SoakProcess,
} from './soak-processes.ts';

/** What a soak run does. */
export type SoakOptions = {
	binary: string;
	seed: number;
	durationMs: number;
	entryCount: number;
	hostsPerUser: number;
	ratePerSecond: number;
	/** Pause between two faults; none without. */
	faultEveryMs?: number;
	report(line: string): void;
};

/** What a soak run found. */
export type SoakReport = {
	promises: PromiseReport;
	isHeld: boolean;
	callers: CallerTally;
	faults: Map<string, number>;
	jobs: {submitted: number; ended: number; lost: string[]};
	use: Map<Role, {count: number; residentMb: number; cpuShare: number}>;
	crashes: string[];
	directory: string;
};

type EntryAddresses = {
	entry: SoakProcess;
	caller: string;
	control: string;
};

type World = {
	options: SoakOptions;
	clock: Clock;
	random: Random;
	checker: PromiseChecker;
	pool: ProcessPool;
	log: LogClient;
	logUrl: string;
	entries: EntryAddresses[];
	faults: Map<string, number>;
	/** Until then nobody can be held to a configuration that was accepted just before. */
	configExcusedUntilMs: Map<string, number>;
	logBackAtMs: number;
	isLogDown: boolean;
	signal: AbortSignal;
	jobs: Map<string, string | undefined>;
};

const regions = [
	{
		name: 'scot-central', service: 'lading-desk', team: 'clydeside', failureDomains: ['leith-hall', 'govan-hall', 'grange-hall'],
	},
	{
		name: 'bagmati', service: 'tariff-relief', team: 'authority', failureDomains: ['hall-ktm', 'hall-ltp', 'hall-bkt', 'hall-hetauda'],
	},
];
const configDueMs = 6000;
const startMs = 3000;
const settleMs = 15_000;
const taskResources: Resources = {processors: 4, memoryMb: 8192, accelerators: 0};
const callTimeoutMs = 2000;
const lingerMs = 3500;

/** Runs a soak. */
export const runSoak = async (options: SoakOptions): Promise<SoakReport> => {
	const aborter = new AbortController();
	const world = await createWorld(options, aborter.signal);
	const {clock, checker, pool, entries} = world;
	const callers = new SoakCallers({
		clock, random: createRandom(options.seed + 1), checker, targets: entries.map(({entry, caller}) => ({entry, address: caller})),
	});
	try {
		await publishFirst(world);
		await waitUntilReady(world);
		options.report('All processes are up.');
		const tasks = [
			callers.run(options.ratePerSecond, aborter.signal), publishChangesOften(world), watchConfig(world), submitJobs(world), makeFaults(world, callers),
		];
		await clock.sleep(options.durationMs);
		aborter.abort();
		await Promise.all(tasks);
		const use = getUse(world);
		await heal(world);
		const jobs = await awaitJobs(world);
		return {
			promises: checker.getReport(),
			isHeld: checker.isHeld && jobs.lost.length === 0,
			callers: callers.tally,
			faults: world.faults,
			jobs,
			use,
			crashes: pool.processes.filter(({crashes}) => crashes > 0).map(({name, crashes}) => `${name} ${crashes}`),
			directory: pool.directory,
		};
	} finally {
		aborter.abort();
		await world.log.stop();
		await pool.stopAll();
	}
};

const createWorld = async (options: SoakOptions, signal: AbortSignal): Promise<World> => {
	const checker = new PromiseChecker();
	const pool = new ProcessPool(options.binary, event => {
		noteHostEvent(checker, event, taskResources);
	});
	const ports = await findFreePorts(1 + (3 * options.entryCount));
	const logAddress = `127.0.0.1:${ports[0]}`;
	const logUrl = `http://${logAddress}`;
	pool.add('log', Role.Log, ['standin', 'log', '--address', logAddress]);
	const peers = Array.from({length: options.entryCount}, (_, index) => `127.0.0.1:${ports[3 + (3 * index)]}`);
	const entries = Array.from({length: options.entryCount}, (_, index) => {
		const [caller, control] = [ports[1 + (3 * index)], ports[2 + (3 * index)]].map(port => `127.0.0.1:${port}`) as [string, string];
		const region = regions[index % regions.length]!;
		const file = pool.writeFile(`entry-${index + 1}.ini`, [
			'[process]',
			`id = entry-${index + 1}`,
			`region = ${region.name}`,
			`failureDomain = ${region.failureDomains[0]!}`,
			'stopBoundMs = 20000',
			'[entry]',
			`callerAddress = ${caller}`,
			`controlAddress = ${control}`,
			`peerAddress = ${peers[index]!}`,
			`seedPeers = ${peers.join(', ')}`,
			'[log]',
			`url = ${logUrl}`,
			'',
		].join('\n'));
		return {entry: pool.add(`entry-${index + 1}`, Role.Entry, ['entry', '--settings', file]), caller, control};
	});
	const controls = entries.map(({control}) => control).join(',');
	for (const {name, service, team, failureDomains} of regions) {
		for (let index = 0; index < options.hostsPerUser; index++) {
			const place = ['--entries', controls, '--region', name, '--failure-domain', failureDomains[index % failureDomains.length]!, '--events'];
			pool.add(`${service}-${index + 1}`, Role.Upstream, ['standin', 'upstream', '--id', `${service}-${index + 1}`, '--service', service, '--linger-ms', String(lingerMs), ...place]);
			const workerId = `${team}-worker-${index + 1}`;
			checker.setCapacity(workerId, workerShape);
			pool.add(workerId, Role.Worker, ['standin', 'worker', '--id', workerId, '--rack', `${team}-rack-${Math.floor(index / 3) + 1}`, ...place]);
		}
	}

	return {
		options,
		clock: createSystemClock(),
		random: createRandom(options.seed),
		checker,
		pool,
		log: createLogClient(logUrl, callTimeoutMs),
		logUrl,
		entries,
		faults: new Map(),
		configExcusedUntilMs: new Map(),
		logBackAtMs: 0,
		isLogDown: false,
		signal,
		jobs: new Map(),
	};
};

const publishFirst = async ({log, clock, random}: World): Promise<void> => {
	const text = regions.map(({service, name}) => `[service ${service}]\nregion = ${name}\n`).join('\n');
	const changes = getChanges(new ConfigFold(), parseConfigText(text).sections);
	const result = await publishChanges(changes, {
		log, clock, random, author: 'soak', timeoutMs: settleMs,
	});
	if (result.verdict !== ConfigVerdict.Accepted) {
		throw new Error(result.reason);
	}
};

const waitUntilReady = async (world: World): Promise<void> => {
	const {clock, entries, options} = world;
	const endMs = clock.monotonicMs() + settleMs;
	const isReady = async ({control}: EntryAddresses) => {
		try {
			await callJson({
				method: 'GET', url: `http://${control}/readyz`, timeoutMs: callTimeoutMs, step: 'wait for entry',
			});
			const {upstreams} = await callJson<{upstreams: unknown[]}>({
				method: 'GET', url: `http://${control}/v1/upstreams`, timeoutMs: callTimeoutMs, step: 'wait for upstreams',
			});
			return upstreams.length === regions.length * options.hostsPerUser;
		} catch {
			return false;
		}
	};

	while (clock.monotonicMs() < endMs) {
		const ready = await Promise.all(entries.map(async entry => isReady(entry)));
		if (ready.every(Boolean)) {
			return;
		}

		await clock.sleep(100);
	}

	throw new Error(`not all entries were ready within ${settleMs} ms; logs are in ${world.pool.directory}`);
};

/** Two operators race with conflicting changes; every other round only one of them publishes. */
const publishChangesOften = async (world: World): Promise<void> => {
	const {clock, log, random, signal, checker} = world;
	for (let round = 0; !signal.aborted; round++) {
		await clock.sleep(1500, signal);
		try {
			const fold = await readConfig(log);
			const changes: Record<string, SectionChange> = {
				'team clydeside': {baseOffset: fold.sections.get('team clydeside')?.offset ?? -1, values: {processors: String(100 + (round % 77))}},
			};
			const authors = round % 2 === 0 ? ['ann'] : ['ann', 'ben'];
			const results = await Promise.all(authors.map(async author => publishChanges(changes, {
				log, clock, random, author, timeoutMs: callTimeoutMs,
			})));
			for (const {verdict, offset} of results) {
				if (verdict === ConfigVerdict.Accepted) {
					void checkDue(world, offset, checker);
				}
			}
		} catch {
			// The log is down; the operators try again.
		}
	}
};

const checkDue = async (world: World, offset: number, checker: PromiseChecker): Promise<void> => {
	const acceptedAtMs = world.clock.monotonicMs();
	await world.clock.sleep(configDueMs, world.signal);
	if (world.signal.aborted) {
		return;
	}

	for (const {entry} of world.entries) {
		const excusedUntilMs = Math.max(world.configExcusedUntilMs.get(entry.name) ?? 0, world.logBackAtMs);
		if (entry.child && !entry.isPaused && !world.isLogDown && excusedUntilMs <= acceptedAtMs) {
			checker.noteConfigDue(`${entry.name}/${entry.life}`, offset);
		}
	}
};

const watchConfig = async ({entries, clock, checker, signal}: World): Promise<void> => {
	while (!signal.aborted) {
		await Promise.all(entries.map(async ({entry, control}) => {
			const {life} = entry;
			try {
				const {offset} = await callJson<{offset: number}>({
					method: 'GET', url: `http://${control}/v1/config`, timeoutMs: callTimeoutMs, step: 'watch config',
				});
				if (entry.life === life) {
					checker.noteConfig(`${entry.name}/${life}`, offset);
				}
			} catch {
				// Paused or down.
			}
		}));
		await clock.sleep(250, signal);
	}
};

const submitJobs = async (world: World): Promise<void> => {
	const {clock, random, entries, signal, jobs} = world;
	for (let index = 0; !signal.aborted; index++) {
		await clock.sleep(400, signal);
		const jobId = `soak-${index}`;
		const {team} = regions[index % regions.length]!;
		const {control} = entries[random.below(entries.length)]!;
		try {
			await callJson({
				method: 'POST',
				url: `http://${control}/v1/jobs`,
				timeoutMs: callTimeoutMs,
				step: 'submit job',
				body: {
					jobId,
					team,
					kind: 'rebuild-records',
					taskClass: TaskClass.Batch,
					priority: 100,
					taskCount: 2,
					isGang: false,
					isIdempotent: true,
					resources: taskResources,
					declaredRunTimeMs: 1500,
					input: {runTimeMs: 500 + random.below(2000)},
				},
			});
			jobs.set(jobId, undefined);
		} catch {
			// Not acknowledged: nothing was promised.
		}
	}
};

const makeFaults = async (world: World, callers: SoakCallers): Promise<void> => {
	const {options, clock, random, signal} = world;
	if (options.faultEveryMs === undefined) {
		return;
	}

	const faults = createFaults(world, callers);
	while (!signal.aborted) {
		await clock.sleep(options.faultEveryMs * (0.5 + random.next()), signal);
		if (signal.aborted) {
			return;
		}

		const [name, act] = faults[random.below(faults.length)]!;
		world.faults.set(name, (world.faults.get(name) ?? 0) + 1);
		options.report(`Fault: ${name}.`);
		await act();
	}
};

const createFaults = (world: World, callers: SoakCallers): Array<[string, () => Promise<void>]> => {
	const {pool, clock, random, checker} = world;
	const pick = (role: Role): SoakProcess => {
		const candidates = pool.processes.filter(target => target.role === role && target.child);
		return candidates[random.below(candidates.length)]!;
	};

	const excuse = ({name}: SoakProcess) => {
		world.configExcusedUntilMs.set(name, clock.monotonicMs() + startMs);
	};

	const restart = async (target: SoakProcess, end: () => Promise<void>) => {
		await end();
		await clock.sleep(200 + random.below(2000));
		pool.start(target);
		excuse(target);
	};

	return [
		['entry killed', async () => {
			const target = pick(Role.Entry);
			await restart(target, async () => pool.kill(target));
		}],
		['entry told to stop', async () => {
			const target = pick(Role.Entry);
			callers.noteShutdown(target);
			await restart(target, async () => pool.terminate(target));
		}],
		['entry paused', async () => {
			const target = pick(Role.Entry);
			pool.pause(target);
			await clock.sleep(1000 + random.below(6000));
			pool.resume(target);
			excuse(target);
		}],
		['upstream killed', async () => {
			const target = pick(Role.Upstream);
			await restart(target, async () => pool.kill(target));
		}],
		['upstream told to stop', async () => {
			const target = pick(Role.Upstream);
			await restart(target, async () => pool.terminate(target));
		}],
		['upstream paused', async () => {
			const target = pick(Role.Upstream);
			pool.pause(target);
			await clock.sleep(500 + random.below(3000));
			pool.resume(target);
		}],
		['worker killed', async () => {
			const target = pick(Role.Worker);
			await restart(target, async () => {
				await pool.kill(target);
				checker.noteWorkerGone(target.name);
			});
		}],
		['log down', async () => {
			world.isLogDown = true;
			await setLogFaults(world, {isDown: true});
			await clock.sleep(2000 + random.below(6000));
			await setLogFaults(world, {isDown: false});
			world.isLogDown = false;
			world.logBackAtMs = clock.monotonicMs() + startMs;
		}],
		['log slow, answers lost', async () => {
			await setLogFaults(world, {delayMs: 100, loseAnswerChance: 0.2});
			await clock.sleep(3000);
			await setLogFaults(world, {delayMs: 0, loseAnswerChance: 0});
		}],
	];
};

const setLogFaults = async ({logUrl}: World, faults: Record<string, unknown>): Promise<void> => {
	await callJson({
		method: 'POST', url: `${logUrl}/faults`, body: faults, timeoutMs: callTimeoutMs, step: 'set log faults',
	});
};

const heal = async (world: World): Promise<void> => {
	await setLogFaults(world, {
		isDown: false, delayMs: 0, loseAnswerChance: 0, failChance: 0,
	});
	for (const target of world.pool.processes) {
		if (target.child === undefined) {
			world.pool.start(target);
		}
	}
};

const awaitJobs = async ({jobs, entries, clock}: World): Promise<SoakReport['jobs']> => {
	const endMs = clock.monotonicMs() + (2 * settleMs);
	const open = new Set(jobs.keys());
	const finals = new Set([JobState.Succeeded, JobState.Failed, JobState.Cancelled]);
	while (open.size > 0 && clock.monotonicMs() < endMs) {
		for (const jobId of open) {
			try {
				const status = await callJson<JobStatus>({
					method: 'GET', url: `http://${entries[0]!.control}/v1/jobs/${jobId}`, timeoutMs: callTimeoutMs, step: 'get job',
				});
				jobs.set(jobId, status.state);
				if (finals.has(status.state)) {
					open.delete(jobId);
				}
			} catch (error) {
				jobs.set(jobId, String(error));
			}
		}

		await clock.sleep(500);
	}

	return {submitted: jobs.size, ended: jobs.size - open.size, lost: [...open].map(jobId => `${jobId}: ${jobs.get(jobId)}`)};
};

const getUse = ({pool}: World): SoakReport['use'] => {
	const byRole: SoakReport['use'] = new Map();
	for (const target of pool.processes) {
		const use = pool.getUse(target);
		if (!use) {
			continue;
		}

		const known = byRole.get(target.role) ?? {count: 0, residentMb: 0, cpuShare: 0};
		known.count++;
		known.residentMb = Math.max(known.residentMb, use.residentMb);
		known.cpuShare = Math.max(known.cpuShare, use.cpuMs / Math.max(1, Date.now() - target.startedAtMs));
		byRole.set(target.role, known);
	}

	return byRole;
};
