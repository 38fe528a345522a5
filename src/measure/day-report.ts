/**
Formats the job timelines of a day as text.
*/
import {createCauseRows, createCutRows, createRefusalRows} from './day-causes.ts';
import {type DayTimeline, type JobTimeline} from './day-timeline.ts';
import {type MeasureRow} from './measure-types.ts';
import {formatTable} from './table.ts';

const secondMs = 1000;
const bucketMs = 5000;
const worstCount = 10;

const mean = (values: number[]): number => {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return values.length === 0 ? 0 : sum / values.length;
};

const isInTime = ({tookMs, allowedMs}: JobTimeline): boolean => tookMs !== undefined && tookMs <= allowedMs!;

const formatWasted = (jobs: JobTimeline[]): string => {
	const sums = new Map<string, number>();
	for (const {wastedMs} of jobs) {
		for (const [end, ms] of wastedMs) {
			sums.set(end, (sums.get(end) ?? 0) + ms);
		}
	}

	return [...sums].toSorted((a, b) => b[1] - a[1]).map(([end, ms]) => `${end} ${Math.round(ms / secondMs)} s`).join(', ') || 'none';
};

const createQueueRow = (queue: string, jobs: JobTimeline[]): MeasureRow => {
	const ended = jobs.filter(({end}) => end === 'completed');
	return {
		labels: {queue},
		figures: {
			jobs: jobs.length,
			inTime: ended.filter(job => isInTime(job)).length,
			late: ended.filter(job => !isInTime(job)).length,
			open: jobs.filter(({end}) => end === undefined).length,
			acceptMs: mean(jobs.map(({acceptedAfterMs}) => acceptedAfterMs)),
			firstStartMs: mean(jobs.flatMap(({firstStartAtMs, acceptedAtMs}) => firstStartAtMs === undefined ? [] : [firstStartAtMs - acceptedAtMs])),
			taskWaitMs: mean(jobs.map(({waitedMs, starts}) => waitedMs / Math.max(1, starts))),
			taskRunMs: mean(ended.map(({ranMs, starts}) => ranMs / Math.max(1, starts))),
		},
	};
};

const createWaitRows = ({waits}: DayTimeline): MeasureRow[] => {
	const startMs = waits[0]?.atMs ?? 0;
	const buckets = groupBy(waits, ({atMs}) => Math.floor((atMs - startMs) / bucketMs));
	return [...buckets].map(([index, rows]) => {
		const reasons = new Set(rows.flatMap(row => Object.keys(row.reasons)));
		return {
			labels: {
				fromS: String(index * bucketMs / secondMs), waiting: [...reasons].map(reason => `${reason} ${Math.round(mean(rows.map(row => row.reasons[reason] ?? 0)))}`).join(', '),
			},
			figures: {fillingCores: mean(rows.map(row => row.fillingMilliCpu)) / 1000, spareCores: mean(rows.map(row => row.spareMilliCpu)) / 1000},
		};
	});
};

const groupBy = <Key, Item>(items: Item[], getKey: (item: Item) => Key): Map<Key, Item[]> => {
	const groups = new Map<Key, Item[]>();
	for (const item of items) {
		const key = getKey(item);
		groups.set(key, [...(groups.get(key) ?? []), item]);
	}

	return groups;
};

const formatCuts = (day: DayTimeline): string[] => {
	const {bySize, byFailureDomain, byEntry} = createCutRows(day);
	return [createCauseRows(day), bySize, byFailureDomain, byEntry, createRefusalRows(day)].flatMap(rows => rows.length === 0 ? [] : ['', ...formatTable(rows)]);
};

/** Formats a day: tables by queue and by time, then all events of the jobs that were latest in relation to the time allowed. */
export const formatDayTimeline = (day: DayTimeline): string[] => {
	const queues = groupBy([...day.jobs.values()], ({queue}) => queue);
	const rows = [...queues].map(([queue, jobs]) => createQueueRow(queue, jobs));
	const worst = [...day.jobs.values()]
		.filter(job => job.end === 'completed' && !isInTime(job))
		.toSorted((a, b) => (b.tookMs! / b.allowedMs!) - (a.tookMs! / a.allowedMs!))
		.slice(0, worstCount);
	return [
		...formatTable(rows),
		'',
		...[...queues].map(([queue, jobs]) => `${queue}: runs that ended in no success: ${formatWasted(jobs)}`),
		`answers: ${[...day.answers].map(([key, count]) => `${key}: ${count}`).join('; ')}`,
		'',
		...formatTable(createWaitRows(day)),
		...formatCuts(day),
		...worst.flatMap(({id, queue, events}) => ['', `${id} (${queue})`, ...events.map(event => `  ${event}`)]),
	];
};
