/**
Credit that callers give for the jobs of a simulated load.
*/
import {WorkflowState} from '../types/workflows.ts';
import {type ManualClock} from '../utils/manual-clock.ts';
import {type WorkflowFollower} from '../workflows/follower.ts';
import {type GeneratedJob} from './scheduling-load.ts';
import {JobOutcome} from './job-outcome.ts';
import {type SubmissionResult} from './simulated-callers.ts';

/** Result of one simulation. */
export type SchedulingResult = SubmissionResult & {
	/** By kind of job: credit earned, and the most that could be earned. */
	credit: Map<string, {earned: number; possible: number}>;
	/** Core-seconds of work done and then lost. */
	lostCoreS: number;
	/** Seconds that latency-critical tasks were over their target because of best-effort tasks on the same worker. */
	interferenceS: number;
	/** Jobs of each kind that completed in time, completed late, or did not complete. */
	counts: Map<string, {inTime: number; late: number; open: number}>;
	/** Mean number of processors that best-effort tasks used while there were jobs. */
	bestEffortCores: number;
	/** How each job that completed ended. */
	completedJobs: Map<string, JobOutcome>;
	/** Copies that were started, and those of them that ended before the other run. */
	copies: {started: number; won: number};
};

/** What credits are computed from. */
export type CreditedSimulation = {
	clock: ManualClock;
	jobs: Map<string, GeneratedJob>;
	result: SchedulingResult;
	/** By latency-critical job: time in the current window that its tasks met their target, and that they missed it because of interference. */
	served: Map<string, {withinTargetMs: number; interferenceMs: number}>;
	/** Ids of completed jobs that are already credited. */
	creditedJobIds: Set<string>;
};

/** Latency-critical jobs are credited for each window of this length. */
export const windowMs = 2000;
const lateCreditShare = 0.15;
const maxLateFactor = 3;
const interferencePenalty = 4;
const secondMs = 1000;

const addCredit = ({result}: CreditedSimulation, kind: string, earned: number, possible: number): void => {
	const sum = result.credit.get(kind) ?? {earned: 0, possible: 0};
	result.credit.set(kind, {earned: sum.earned + earned, possible: sum.possible + possible});
};

const getCount = ({result}: CreditedSimulation, kind: string): {inTime: number; late: number; open: number} => {
	const count = result.counts.get(kind) ?? {inTime: 0, late: 0, open: 0};
	result.counts.set(kind, count);
	return count;
};

/** Credit for a job: a fixed part, and a part in proportion to its work relative to the mean of its kind. */
const getCredit = ({kind, coreMs}: GeneratedJob): number => {
	const meanCoreMs = kind.steps.mean * kind.tasksPerStep.mean * kind.workMs.mean * kind.milliCpu.mean / 1000;
	return kind.credit * Math.min(4, 0.3 + (0.7 * coreMs / meanCoreMs));
};

/** Credits the jobs that have completed since the last call. */
export const creditCompletedJobs = (simulation: CreditedSimulation, follower: WorkflowFollower): void => {
	const nowMs = simulation.clock.monotonicMs();
	for (const job of simulation.jobs.values()) {
		const isCredited = simulation.creditedJobIds.has(job.id);
		if (job.kind.latencyCritical !== undefined || isCredited || follower.fold.workflows.get(job.id)?.state !== WorkflowState.Completed) {
			continue;
		}

		const allowedMs = (job.kind.stretch * job.criticalPathMs) + job.kind.targetLatencyMs;
		const tookMs = nowMs - job.atMs;
		const share = tookMs <= allowedMs ? 1 : (tookMs <= maxLateFactor * allowedMs ? lateCreditShare : 0);
		addCredit(simulation, job.kind.name, share * getCredit(job), getCredit(job));
		const count = getCount(simulation, job.kind.name);
		count.inTime += share === 1 ? 1 : 0;
		count.late += share === 1 ? 0 : 1;
		simulation.result.completedJobs.set(job.id, share === 1 ? JobOutcome.InTime : (share > 0 ? JobOutcome.Late : JobOutcome.TooLate));
		simulation.creditedJobIds.add(job.id);
	}
};

/** Credits each latency-critical job with the share of the window in which its tasks met their target, less a penalty for interference. */
export const creditWindow = (simulation: CreditedSimulation, latencyCriticalJobs: GeneratedJob[], fromMs: number, untilMs: number): void => {
	for (const job of latencyCriticalJobs) {
		const served = simulation.served.get(job.id) ?? {withinTargetMs: 0, interferenceMs: 0};
		if (job.atMs <= fromMs && job.cancelAtMs >= fromMs + windowMs && fromMs < untilMs) {
			const fullMs = job.spec.steps[0]!.count * windowMs;
			addCredit(simulation, job.kind.name, job.kind.credit * Math.max(0, served.withinTargetMs - ((interferencePenalty - 1) * served.interferenceMs)) / fullMs, job.kind.credit);
			simulation.result.interferenceS += served.interferenceMs / secondMs;
		}
	}

	simulation.served.clear();
};

/** Counts the jobs that did not complete. */
export const countUnfinishedJobs = (simulation: CreditedSimulation): void => {
	for (const job of simulation.jobs.values()) {
		if (!job.kind.latencyCritical && !simulation.creditedJobIds.has(job.id)) {
			addCredit(simulation, job.kind.name, 0, getCredit(job));
			getCount(simulation, job.kind.name).open++;
		}
	}
};
