/**
A soak run of a site: its programs as real processes, callers and stand-ins, with checks of what the site promises.
*/
import {createAborter} from '../../src/utils/aborter.ts';
import {createRandom} from '../../src/utils/seeded-random.ts';
import {createSystemClock} from '../../src/utils/system-clock.ts';
import {type Clock} from '../../src/types/clock.ts';
import {type Random} from '../../src/types/random.ts';
import {Caller} from './caller.ts';
import {HostDepartures} from './departures.ts';
import {cancelEarly} from './early-cancellations.ts';
import {SoakFaults} from './faults.ts';
import {calmBoundMs} from './interruptions.ts';
import {drawJob, drawLongRunningJob} from './offered-jobs.ts';
import {PromiseChecker, type KnownJob, type Violation} from './promise-checker.ts';
import {type LogLine} from './site-processes.ts';
import {callersHost, pathPrefix, SiteUnderTest} from './site-under-test.ts';

/** Options of a run. */
export type SiteSoakOptions = {
	program: string;
	seed: number;
	seconds: number;
	entryCount: number;
	hostCount: number;
	/** Whether no faults are played. */
	isCalm: boolean;
	/** Time from the start of the faults in which departures begin. */
	departureSeconds: number;
	/** Whether hosts also go without a word. */
	hasUnannouncedLosses: boolean;
	areLogsKept: boolean;
	report: (line: string) => void;
};

/** Result of a run. */
export type SiteSoakReport = {
	violations: Violation[];
	crashes: string[];
	counts: Record<string, number>;
	faults: Map<string, number>;
	settledAfterMs: number;
	directory: string;
	findLines: (text: string) => LogLine[];
};

const readyBoundMs = 20_000;
const settleBoundMs = 60_000;
const logFlushMs = 500;
const jobsPerHostPerS = 0.3;
const cancelShare = 0.08;
const askPauseMs = 200;
const settlePollMs = 250;
const maxPolledJobs = 40;
const minFaultSeries = 2;
const hostsPerFaultSeries = 3;
const minDepartureSeries = 2;
const hostsPerDepartureSeries = 8;
const faultRoundMs = 6000;
/** No calm within a run that leaves less than this for the faults after it. */
const minFaultRoundMs = 3000;
const calmPollMs = 100;
const longRunningEveryMs = 3000;
/** Spreads tasks over workers, with room for all of them on half of the hosts. */
const longRunningPerWorker = 2;
/** Distance of the seeds of a run's random sources, so that runs with neighbouring seeds share none. */
const seedStep = 1_000_003;
const secondMs = 1000;

type Run = {clock: Clock; random: Random; site: SiteUnderTest; checker: PromiseChecker; callers: Caller[]; signal: AbortSignal; options: SiteSoakOptions};

/** Runs a soak test. */
export const runSiteSoak = async (options: SiteSoakOptions): Promise<SiteSoakReport> => {
	const clock = createSystemClock();
	const checker = new PromiseChecker(() => clock.monotonicMs());
	const stopped = createAborter();
	const traffic = createAborter();
	const {seed, program, entryCount, hostCount, report} = options;
	const site = new SiteUnderTest({
		clock, checker, program, entryCount, hostCount, random: createRandom(seed + (seedStep * 2)), signal: stopped.signal,
	});
	let isPassed = false;
	let callers: Caller[] = [];
	let earlyCallers: Caller[] = [];
	try {
		await site.start();
		await site.waitUntilReady(readyBoundMs);
		report('All entries are ready.');
		const createCaller = (firstEntry: number, random: Random) => new Caller({
			clock,
			random,
			checker,
			entries: site.entries.map(({callersAddress}) => callersAddress),
			firstEntry,
			host: callersHost,
			pathPrefix,
			note(text) {
				site.processes.note(text);
			},
		});
		callers = site.entries.flatMap((_, index) => [0, 1].map(number => createCaller(index, createRandom(seed + (seedStep * (3 + (index * 2) + number))))));
		// With random sources of their own, they leave all else that a seed plays as it is.
		earlyCallers = site.entries.map((_, index) => createCaller(index, createRandom(seed - (seedStep * (3 + index)))));
		const run: Run = {
			clock, site, checker, callers, options, random: createRandom(seed + seedStep), signal: traffic.signal,
		};
		const {interruptions} = checker;
		const faults = new SoakFaults({
			clock, site, interruptions, random: createRandom(seed),
		});
		const departures = new HostDepartures({
			clock, site, interruptions, random: createRandom(seed - seedStep), hasUnannouncedLosses: options.hasUnannouncedLosses,
		});
		const tasks = [
			...options.isCalm ? [] : [playRounds(run, faults, departures)], submitJobs(run), submitLongRunningJobs(run), cancelEarly({...run, callers: earlyCallers, random: createRandom(seed - (seedStep * 2))}), ...callers.map(async caller => askRepeatedly(run, caller)),
		];
		await clock.sleep(options.seconds * secondMs);
		traffic.abort();
		await Promise.all(tasks);
		const settledAfterMs = await waitUntilSettled(run);
		checker.checkEnd(settleBoundMs);
		await clock.sleep(logFlushMs);
		isPassed = checker.violations.length === 0 && site.processes.crashes.length === 0;
		return {
			violations: checker.violations,
			crashes: site.processes.crashes,
			counts: {
				...checker.counts,
				...interruptions.counts,
				jobs: checker.jobs.size,
				answered: callers.reduce((sum, caller) => sum + caller.counts.answered, 0),
				unanswered: callers.reduce((sum, caller) => sum + caller.counts.unanswered, 0),
			},
			faults: new Map([...faults.played, ...departures.played]),
			settledAfterMs,
			directory: site.processes.directory,
			findLines: text => site.processes.findLines(text),
		};
	} finally {
		stopped.abort();
		for (const caller of [...callers, ...earlyCallers]) {
			caller.close();
		}

		await site.stop(options.areLogsKept || !isPassed);
	}
};

const pick = <Value>(values: Value[], random: Random): Value => values[random.below(values.length)]!;

/** Plays faults and departures in rounds until the end of the run, with a calm after each in which long-running tasks have to run again. */
const playRounds = async ({clock, checker: {interruptions}, options}: Run, faults: SoakFaults, departures: HostDepartures): Promise<void> => {
	const startMs = clock.monotonicMs();
	const endMs = startMs + (options.seconds * secondMs);
	const departuresUntilMs = startMs + (options.departureSeconds * secondMs);
	let leftMs = options.seconds * secondMs;
	while (leftMs > 0) {
		const round = createAborter();
		const players = [
			...Array.from({length: minFaultSeries + Math.floor(options.hostCount / hostsPerFaultSeries)}, async () => faults.run(round.signal)),
			...Array.from({length: minDepartureSeries + Math.floor(options.hostCount / hostsPerDepartureSeries)}, async () => departures.run(round.signal, departuresUntilMs)),
		];
		await clock.sleep(leftMs < faultRoundMs + calmBoundMs + minFaultRoundMs ? leftMs : faultRoundMs);
		round.abort();
		await Promise.all(players);
		while (endMs > clock.monotonicMs() && !interruptions.isCalmOver) {
			await clock.sleep(calmPollMs);
		}

		leftMs = endMs - clock.monotonicMs();
	}
};

/** Submits long-running jobs at once and short ones until the signal aborts, and cancels some. */
const submitJobs = async ({clock, random, callers, signal, options}: Run): Promise<void> => {
	const pending: Array<Promise<void>> = [];
	const {hostCount} = options;
	for (let index = 0; index < 3; index++) {
		pending.push(submitAndLeave(pick(callers, random), drawLongRunningJob(random, hostCount, index === 0 ? 0 : longRunningPerWorker)));
	}

	while (!signal.aborted) {
		const caller = pick(callers, random);
		const job = drawJob(random);
		const cancelAfterMs = random.next() < cancelShare ? random.below(4000) : undefined;
		pending.push(cancelAfterMs === undefined ? submitAndLeave(caller, job) : submitAndCancel(clock, caller, job, cancelAfterMs));
		await clock.sleep(2 * random.next() * secondMs / (jobsPerHostPerS * hostCount), signal);
	}

	await Promise.all(pending);
};

/** Submits another long-running job now and then. */
const submitLongRunningJobs = async ({clock, random, callers, signal}: Run): Promise<void> => {
	const pending: Array<Promise<void>> = [];
	while (!signal.aborted) {
		await clock.sleep(longRunningEveryMs, signal);
		if (!signal.aborted) {
			pending.push(submitAndLeave(pick(callers, random), drawLongRunningJob(random, 1 + random.below(2), 0)));
		}
	}

	await Promise.all(pending);
};

const submitAndLeave = async (caller: Caller, job: Parameters<Caller['submit']>[0]): Promise<void> => {
	await caller.submit(job);
};

const submitAndCancel = async (clock: Clock, caller: Caller, offered: Parameters<Caller['submit']>[0], afterMs: number): Promise<void> => {
	const job = await caller.submit(offered);
	await clock.sleep(afterMs);
	if (job.isAccepted) {
		await caller.cancel(job);
	}
};

const askRepeatedly = async ({clock, random, checker, signal}: Run, caller: Caller): Promise<void> => {
	while (!signal.aborted) {
		const jobs = [...checker.jobs.values()].filter(({isAccepted}) => isAccepted);
		if (jobs.length > 0) {
			await caller.ask(pick(jobs, random));
		}

		await clock.sleep(askPauseMs, signal);
	}
};

/** Waits until all accepted jobs have settled, or for the bound; resolves to the time that it took. */
const waitUntilSettled = async ({clock, checker, callers}: Run): Promise<number> => {
	const startMs = clock.monotonicMs();
	while (clock.monotonicMs() - startMs < settleBoundMs) {
		const open: KnownJob[] = [...checker.jobs.values()].filter(job => checker.isOwed(job) && !checker.isSettled(job));
		if (open.length === 0) {
			break;
		}

		await Promise.all(open.slice(0, maxPolledJobs).map(async (job, index) => callers[index % callers.length]!.ask(job)));
		await clock.sleep(settlePollMs);
	}

	return Math.round(clock.monotonicMs() - startMs);
};
