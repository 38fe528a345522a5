/**
Tells from job timelines which callers were served late, and why: by queue, size of the job, entry and failure domain that accepted it,
and cause of the delay.
*/
import {sum} from '../utils/sum.ts';
import {lateLimitFactor} from '../workflows/job-objective.ts';
import {JobOutcome} from './job-outcome.ts';
import {type DayTimeline, type JobTimeline} from './day-timeline.ts';
import {type MeasureRow} from './measure-types.ts';

/** Main cause of a delay. */
export enum DelayCause {
	/** The record of the job took long to reach the owner. */
	AcceptedLate = 'accepted late',
	/** Its tasks waited for a worker. */
	Waited = 'waited for a place',
	/** Its tasks ran longer than the objective allows, throttled or on a slow worker. */
	RanLong = 'ran long',
	/** Runs were stopped, mostly because they were moved. */
	Moved = 'runs stopped',
	/** Workers with its runs were lost, or their leases expired. */
	WorkerLost = 'worker lost',
	/** Runs failed. */
	Failed = 'runs failed',
	/** All tasks had ended in time, and the state was shown later. */
	ShownLate = 'shown late',
	/** The day ended first, and no other cause stands out. */
	Open = 'open at the end',
}

/** A cause counts if it takes at least this share of the delay. */
const minShare = 0.2;

/** Gets the outcome of a job. */
export const getOutcome = ({end, tookMs, allowedMs}: JobTimeline): JobOutcome => {
	if (end === undefined) {
		return JobOutcome.Open;
	}

	if (end !== 'completed' || tookMs === undefined || allowedMs === undefined) {
		return JobOutcome.Other;
	}

	if (tookMs <= allowedMs) {
		return JobOutcome.InTime;
	}

	return tookMs <= lateLimitFactor * allowedMs ? JobOutcome.Late : JobOutcome.TooLate;
};

/** Gets the main cause why the job was late or is open. */
export const getDelayCause = (job: JobTimeline): DelayCause => {
	const {acceptedAfterMs, stepWaitMs, wastedMs, finishedAtMs, lastSuccessAtMs, tookMs, allowedMs} = job;
	const delayMs = tookMs === undefined || allowedMs === undefined ? 0 : tookMs - allowedMs;
	const shownLateMs = finishedAtMs === undefined || lastSuccessAtMs === undefined ? 0 : finishedAtMs - lastSuccessAtMs;
	const causes: Array<[DelayCause, number]> = [
		[DelayCause.ShownLate, shownLateMs],
		[DelayCause.AcceptedLate, acceptedAfterMs],
		[DelayCause.Waited, sum([...stepWaitMs.values()])],
		[DelayCause.Moved, getWasted(wastedMs, end => end === 'stopped')],
		[DelayCause.WorkerLost, getWasted(wastedMs, end => end.startsWith('lost') || end === 'lapsed')],
		[DelayCause.Failed, getWasted(wastedMs, end => end === 'failed')],
	];
	const [cause, ms] = causes.toSorted((a, b) => b[1] - a[1])[0]!;
	if (ms > 0 && ms >= minShare * delayMs) {
		return cause;
	}

	return tookMs === undefined ? DelayCause.Open : DelayCause.RanLong;
};

/** Longest time that the job's runs with such an end took; several at the same time delay it once. */
const getWasted = (wastedMs: Map<string, number>, isCounted: (end: string) => boolean): number =>
	Math.max(0, ...[...wastedMs].filter(([end]) => isCounted(end)).map(([, ms]) => ms));

/** Size classes: the largest tenth of a queue by tasks, the fifth below it, and the rest. */
const getSizeClass = (rank: number, count: number): string => {
	if (rank < 0.1 * count) {
		return 'largest tenth';
	}

	return rank < 0.3 * count ? 'next fifth' : 'rest';
};

/** Queues whose jobs complete by themselves. */
const getCountedJobs = ({jobs}: DayTimeline): JobTimeline[] => {
	const queues = new Set([...jobs.values()].filter(({end}) => end === 'completed').map(({queue}) => queue));
	return [...jobs.values()].filter(({queue}) => queues.has(queue));
};

const createRow = (labels: Record<string, string>, jobs: JobTimeline[]): MeasureRow => {
	const counts = Object.fromEntries(Object.values(JobOutcome).map(outcome => [outcome, jobs.filter(job => getOutcome(job) === outcome).length]));
	return {labels, figures: {jobs: jobs.length, ...counts, inTimeShare: counts[JobOutcome.InTime]! / Math.max(1, jobs.length)}};
};

const groupJobs = (jobs: JobTimeline[], getLabels: (job: JobTimeline) => Record<string, string>): MeasureRow[] => {
	const groups = new Map<string, {labels: Record<string, string>; jobs: JobTimeline[]}>();
	for (const job of jobs) {
		const labels = getLabels(job);
		const group = groups.get(JSON.stringify(labels)) ?? {labels, jobs: []};
		group.jobs.push(job);
		groups.set(JSON.stringify(labels), group);
	}

	return [...groups.entries()].toSorted(([a], [b]) => a.localeCompare(b)).map(([, {labels, jobs: grouped}]) => createRow(labels, grouped));
};

/** Outcomes by queue and one more cut: size, failure domain or entry. */
export const createCutRows = (day: DayTimeline): {bySize: MeasureRow[]; byFailureDomain: MeasureRow[]; byEntry: MeasureRow[]} => {
	const jobs = getCountedJobs(day);
	const sizes = new Map<JobTimeline, string>();
	for (const queue of new Set(jobs.map(job => job.queue))) {
		const ranked = jobs.filter(job => job.queue === queue).toSorted((a, b) => sum(b.steps) - sum(a.steps));
		for (const [rank, job] of ranked.entries()) {
			sizes.set(job, getSizeClass(rank, ranked.length));
		}
	}

	return {
		bySize: groupJobs(jobs, job => ({queue: job.queue, size: sizes.get(job)!})),
		byFailureDomain: groupJobs(jobs, ({queue, failureDomain}) => ({queue, failureDomain: failureDomain ?? 'not known'})),
		byEntry: groupJobs(jobs, ({entry}) => ({entry: entry ?? 'not known'})),
	};
};

/** Number of late, too late and open jobs by queue and main cause. */
export const createCauseRows = (day: DayTimeline): MeasureRow[] => {
	const counted = getCountedJobs(day).filter(job => ![JobOutcome.InTime, JobOutcome.Other].includes(getOutcome(job)));
	return groupJobs(counted, job => ({queue: job.queue, cause: getDelayCause(job)}))
		.map(({labels, figures: {jobs, late, tooLate, open}}) => ({
			labels, figures: {
				jobs: jobs!, late: late!, tooLate: tooLate!, open: open!,
			},
		}));
};

/** Refused submissions by reason: jobs that were refused first, and those of them that were never accepted. */
export const createRefusalRows = ({refusals, jobs}: DayTimeline): MeasureRow[] => {
	const rows = new Map<string, MeasureRow>();
	for (const [id, {queue, failureDomain, reason}] of refusals) {
		const labels = {queue, failureDomain: failureDomain ?? 'not known', reason};
		const row = rows.get(JSON.stringify(labels)) ?? {labels, figures: {jobs: 0, neverAccepted: 0}};
		row.figures.jobs++;
		row.figures.neverAccepted += jobs.has(id) ? 0 : 1;
		rows.set(JSON.stringify(labels), row);
	}

	return [...rows.values()];
};
