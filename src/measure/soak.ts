/**
A soak run: the whole system in real processes on loopback, with kills, pauses, restarts and an unreachable log that
are drawn from a seed. The guarantee checker observes it from outside.
*/
import {ConfigFold} from '../core/config-fold.ts';
import {getChanges, publishChanges, readConfig} from '../core/config-publisher.ts';
import {parseConfigText} from '../core/config-text.ts';
import {ConfigVerdict, type SectionChange} from '../types/config.ts';
import {JobState, TaskClass, type JobStatus} from '../types/jobs.ts';
import {callJson} from '../utils/json-client.ts';
import {createRandom} from '../utils/seeded-random.ts';
import {type GuaranteeChecker, type GuaranteeReport} from './guarantee-checker.ts';
import {SoakCallers, type CallerTally} from './soak-callers.ts';
import {injectFaults, setLogFaults} from './soak-faults.ts';
import {type Role} from './soak-processes.ts';
import {
	callTimeoutMs, createSoakContext, regions, taskResources, type EntryAddresses, type SoakOptions, type SoakContext,
} from './soak-context.ts';

/** Result of a soak run. */
export type SoakReport = {
	guarantees: GuaranteeReport;
	isPassed: boolean;
	callers: CallerTally;
	faults: Map<string, number>;
	jobs: {submitted: number; ended: number; lost: string[]};
	usage: Map<Role, {count: number; residentMb: number; cpuShare: number}>;
	crashes: string[];
	directory: string;
};

const maxConfigDelayMs = 6000;
const settleMs = 15_000;
/** Acknowledged jobs must end within this time after the last fault. An owner lost twice in a row, and a log that was down, each add the wait for a lease to expire. */
const jobsTimeoutMs = 60_000;
const minUptimeMs = 10_000;
const readinessIntervalMs = 500;
const readinessTimeoutMs = 1000;

/** Runs a soak test. */
export const runSoak = async (options: SoakOptions): Promise<SoakReport> => {
	const aborter = new AbortController();
	const context = await createSoakContext(options, aborter.signal);
	const {clock, checker, pool, entries} = context;
	const callers = new SoakCallers({
		clock, random: createRandom(options.seed + 1), checker, targets: entries.map(entry => ({entry: entry.entry, address: entry.caller, isReady: () => entry.isReady})),
	});
	try {
		await publishServices(context);
		await waitUntilReady(context);
		options.report('All processes are up.');
		const tasks = [
			callers.run(options.ratePerSecond, aborter.signal), publishChangesRepeatedly(context), watchConfig(context), watchReadiness(context), submitJobs(context), injectFaults(context, callers),
		];
		await clock.sleep(options.durationMs);
		aborter.abort();
		await Promise.all(tasks);
		const use = measureUsage(context);
		await endFaults(context);
		const jobs = await waitForJobs(context);
		return {
			guarantees: checker.getReport(),
			isPassed: checker.hasNoViolation && jobs.lost.length === 0,
			callers: callers.tally,
			faults: context.faults,
			jobs,
			usage: use,
			crashes: pool.processes.filter(({crashes}) => crashes > 0).map(({name, crashes}) => `${name} ${crashes}`),
			directory: pool.directory,
		};
	} finally {
		aborter.abort();
		await context.log.stop();
		await pool.stopAll();
	}
};

const publishServices = async ({log, clock, random}: SoakContext): Promise<void> => {
	const text = regions.map(({service, name}) => `[service ${service}]\nregion = ${name}\n`).join('\n');
	const changes = getChanges(new ConfigFold(), parseConfigText(text).sections);
	const result = await publishChanges(changes, {
		log, clock, random, author: 'soak', timeoutMs: settleMs,
	});
	if (result.verdict !== ConfigVerdict.Accepted) {
		throw new Error(result.reason);
	}
};

const waitUntilReady = async (context: SoakContext): Promise<void> => {
	const {clock, entries, options} = context;
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

	throw new Error(`not all entries were ready within ${settleMs} ms; logs are in ${context.pool.directory}`);
};

/** Publishes changes until the signal aborts: two operators publish conflicting changes in every other round, one operator in the rounds between. */
const publishChangesRepeatedly = async (context: SoakContext): Promise<void> => {
	const {clock, log, random, signal, checker} = context;
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
					void checkAppliedInTime(context, offset, checker);
				}
			}
		} catch {
			// The log is unavailable; the next round publishes again.
		}
	}
};

const checkAppliedInTime = async (context: SoakContext, offset: number, checker: GuaranteeChecker): Promise<void> => {
	const acceptedAtMs = context.clock.monotonicMs();
	await context.clock.sleep(maxConfigDelayMs, context.signal);
	if (context.signal.aborted) {
		return;
	}

	for (const {entry} of context.entries) {
		const graceUntilMs = Math.max(context.configGraceUntilMs.get(entry.name) ?? 0, context.logGraceUntilMs);
		if (entry.child && !entry.isPaused && !context.isLogDown && graceUntilMs <= acceptedAtMs) {
			checker.checkConfigApplied(`${entry.name}/${entry.incarnation}`, offset);
		}
	}
};

const watchConfig = async ({entries, clock, checker, signal}: SoakContext): Promise<void> => {
	while (!signal.aborted) {
		await Promise.all(entries.map(async ({entry, control}) => {
			const {incarnation} = entry;
			try {
				const {offset} = await callJson<{offset: number}>({
					method: 'GET', url: `http://${control}/v1/config`, timeoutMs: callTimeoutMs, step: 'watch config',
				});
				if (entry.incarnation === incarnation) {
					checker.recordConfigOffset(`${entry.name}/${incarnation}`, offset);
				}
			} catch {
				// The entry is paused or down.
			}
		}));
		await clock.sleep(250, signal);
	}
};

/** Acts as the load balancer in front of the entries, which routes callers only to entries that report that they are ready. */
const watchReadiness = async ({entries, clock, signal}: SoakContext): Promise<void> => {
	while (!signal.aborted) {
		await Promise.all(entries.map(async target => {
			try {
				await callJson({
					method: 'GET', url: `http://${target.control}/readyz`, timeoutMs: readinessTimeoutMs, step: 'watch readiness',
				});
				target.isReady = true;
			} catch {
				target.isReady = false;
			}
		}));
		await clock.sleep(readinessIntervalMs, signal);
	}
};

const submitJobs = async (context: SoakContext): Promise<void> => {
	const {clock, random, entries, signal, jobs} = context;
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
			// The job was not acknowledged, so it need not run.
		}
	}
};

const endFaults = async (context: SoakContext): Promise<void> => {
	await setLogFaults(context, {
		isDown: false, delayMs: 0, loseAnswerChance: 0, failChance: 0,
	});
	for (const target of context.pool.processes) {
		if (target.child === undefined) {
			context.pool.start(target);
		}
	}
};

const waitForJobs = async ({jobs, entries, clock}: SoakContext): Promise<SoakReport['jobs']> => {
	const endMs = clock.monotonicMs() + jobsTimeoutMs;
	const open = new Set(jobs.keys());
	const finalStates = new Set([JobState.Succeeded, JobState.Failed, JobState.Cancelled]);
	while (open.size > 0 && clock.monotonicMs() < endMs) {
		for (const jobId of open) {
			try {
				const status = await callJson<JobStatus>({
					method: 'GET', url: `http://${entries[0]!.control}/v1/jobs/${jobId}`, timeoutMs: callTimeoutMs, step: 'get job',
				});
				jobs.set(jobId, status.state);
				if (finalStates.has(status.state)) {
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

const measureUsage = ({pool}: SoakContext): SoakReport['usage'] => {
	const byRole: SoakReport['usage'] = new Map();
	for (const target of pool.processes) {
		const use = pool.getUsage(target);
		// Starting a process takes about a second of processor time, which would distort the share of a young process.
		if (!use || Date.now() - target.startedAtMs < minUptimeMs) {
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
