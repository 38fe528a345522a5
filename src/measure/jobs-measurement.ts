/**
Measures placement policies for both users, then the decision rate and the memory of the product's placement at several fleet sizes.
*/
import {interferenceAwareName, interferenceBlindName, measuredPolicies} from './jobs-policies.ts';
import {runJobs, type JobsResult} from './jobs-run.ts';
import {measureScale, type ScaleResult} from './jobs-scale.ts';
import {createUsers, type MeasuredUser} from './jobs-users.ts';
import {type MeasureOptions, type MeasureReport, type MeasureRow} from './measure-types.ts';

/** Options of the measurement. */
export type JobsMeasureOptions = MeasureOptions & {
	/** Runs for one row, each with its own seed. */
	repeats: number;
	/** Numbers of workers at which decision rate and memory are measured. */
	fleetSizes: number[];
};

const percent = 100;

/** Runs the measurement. */
export const measureJobs = async (options: JobsMeasureOptions): Promise<MeasureReport> => {
	const {seed, seconds, fleetSizes, onProgress} = options;
	const users = createUsers();
	const total = (users.length * measuredPolicies.length) + fleetSizes.length;
	const rows: MeasureRow[] = [];
	const notes = [
		'Slowdown of services, and times to start, at the 99th percentile. Work in processor hours an hour. Host and domain: largest',
		'share of a service\'s replicas lost with one, in percent. Cost by the user\'s own weights: less is better.',
	];
	for (const user of users) {
		const results: JobsResult[] = [];
		for (const policy of measuredPolicies) {
			onProgress(rows.length, total, `${user.name} ${policy.name}`);
			const runs = Array.from({length: options.repeats}, (_, index) => runJobs(user, policy, {seed: seed + index, countedMs: seconds * 1000}));
			results.push(...runs);
			rows.push({labels: {user: user.name, policy: policy.name}, figures: getFigures(runs)});
		}

		notes.push(describeWins(user, results));
	}

	for (const size of fleetSizes) {
		onProgress(rows.length, total, `${size} workers`);
		rows.push({labels: {user: 'any', policy: `${size} workers`}, figures: getScaleFigures(measureScale(size, seed))});
	}

	return {
		matter: 'jobs', seed, seconds, rows, notes,
	};
};

const getFigures = (runs: JobsResult[]): Record<string, number> => {
	const getMean = (get: (run: JobsResult) => number) => runs.reduce((sum, run) => sum + get(run), 0) / runs.length;
	return {
		p99Slowdown: getMean(({serviceP99}) => serviceP99),
		batchPerHour: getMean(({batchPerHour}) => batchPerHour),
		workPerHour: getMean(({batchWorkPerHour}) => batchWorkPerHour),
		evictionsPerHour: getMean(({evictionsPerHour}) => evictionsPerHour),
		lostSecondsPerHour: getMean(({lostPerHour}) => lostPerHour),
		throttles: getMean(({throttles}) => throttles),
		urgentStartMs: getMean(({urgentStartP99Ms}) => urgentStartP99Ms),
		serviceStartMs: getMean(({serviceStartP99Ms}) => serviceStartP99Ms),
		batchStartMs: getMean(({batchStartP99Ms}) => batchStartP99Ms),
		hostPercent: getMean(({worstHostLoss}) => worstHostLoss * percent),
		domainPercent: getMean(({worstDomainLoss}) => worstDomainLoss * percent),
		cost: getMean(({cost}) => cost),
	};
};

const getScaleFigures = ({tasks, decisionsPerSecond, reportsPerSecond, workerBytes, taskBytes, jobBytes}: ScaleResult): Record<string, number> => ({
	tasks, decisionsPerSecond, reportsPerSecond, bytesPerWorker: workerBytes, bytesPerTask: taskBytes, bytesPerJob: jobBytes,
});

const describeWins = ({name, weights}: MeasuredUser, runs: JobsResult[]): string => {
	const getCosts = (policy: string) => runs.filter(run => run.policy === policy).map(({cost}) => cost);
	const blind = getCosts(interferenceBlindName);
	const wins = getCosts(interferenceAwareName).filter((cost, index) => cost < blind[index]!).length;
	const slowest = Math.max(...runs.filter(({policy}) => policy === interferenceAwareName).map(({urgentStartP99Ms}) => urgentStartP99Ms));
	return `${name} (weights: tail ${weights.tail}, batch ${weights.batch}, evictions ${weights.evictions}): ${interferenceAwareName} costs less than ${interferenceBlindName} on `
		+ `${wins} of ${blind.length} seeds; urgent work starts within ${slowest} ms at the 99th percentile of the worst seed.`;
};
