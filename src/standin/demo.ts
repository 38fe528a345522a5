/**
End-to-end demonstration in one process: entries, the stand-in log, and workers and upstreams of both users' sites, connected over
loopback.
*/
import {build as createHistogram} from 'hdr-histogram-js';
import {Agent, request} from 'undici';
import {getChanges, publishChanges} from '../core/config-publisher.ts';
import {ConfigFold} from '../core/config-fold.ts';
import {parseConfigText} from '../core/config-text.ts';
import {type RunningKernel} from '../core/kernel.ts';
import {recordHostEvent} from '../measure/host-event-recorder.ts';
import {formatGuarantees, GuaranteeChecker} from '../measure/guarantee-checker.ts';
import {createSettings} from '../core/settings.ts';
import {createEntry} from '../plugins/entry.ts';
import {type Clock} from '../types/clock.ts';
import {ConfigVerdict} from '../types/config.ts';
import {JobState, TaskClass, type JobStatus} from '../types/jobs.ts';
import {type Resources} from '../types/platform.ts';
import {type Random} from '../types/random.ts';
import {Header, Outcome, RequestClass} from '../types/requests.ts';
import {ServiceName} from '../types/services.ts';
import {callJson} from '../utils/json-client.ts';
import {createRequestId} from '../utils/request-id.ts';
import {createRandom} from '../utils/seeded-random.ts';
import {createSystemClock} from '../utils/system-clock.ts';
import {attemptIdHeader} from './host-events.ts';
import {
	createUpstreamHost, createWorkerHost, workerCapacity, type HostOptions, type StandinHost,
} from './hosts.ts';
import {createLogServer} from './log-server.ts';
import {MemoryLog} from './memory-log.ts';

/** Number of requests and jobs to send for each user. */
export type DemoOptions = {
	requestCount: number;
	jobCount: number;
};

/** Result of the demonstration. */
export type DemoReport = {
	/** Whether every guarantee held, all jobs succeeded and at least one request was answered. */
	isHeld: boolean;
	lines: string[];
};

type User = {
	service: string;
	team: string;
	region: string;
	failureDomains: string[];
};

type RequestStats = {
	answered: number;
	refused: Map<string, number>;
	latencies: Record<RequestClass, ReturnType<typeof createHistogram>>;
};

type DemoCluster = {
	clock: Clock;
	random: Random;
	entries: RunningKernel[];
	hosts: StandinHost[];
	checker: GuaranteeChecker;
	stop(): Promise<void>;
};

const users: User[] = [
	{
		service: 'lading-desk', team: 'clydeside', region: 'scot-central', failureDomains: ['leith-hall', 'govan-hall', 'grange-hall'],
	},
	{
		service: 'tariff-relief', team: 'authority', region: 'bagmati', failureDomains: ['hall-ktm', 'hall-ltp', 'hall-bkt', 'hall-hetauda'],
	},
];
const hostsPerUser = 11;
const hostsPerRack = 3;
const entryCount = 3;
const concurrency = 16;
const taskResources: Resources = {processors: 2, memoryMb: 1024, accelerators: 0};
const checkServiceMs = 5;
const longServiceMs = 60;
const maxWaitMs = 15_000;
const anyAddress = '127.0.0.1:0';

/** Runs the demonstration; the report states whether every guarantee held for the requests and jobs that were sent. */
export const runDemo = async (options: DemoOptions): Promise<DemoReport> => {
	const cluster = await createCluster();
	try {
		await publishConfig(cluster);
		const allStats = await Promise.all(users.map(async user => sendRequests(cluster, user, options.requestCount)));
		const jobs = await runJobs(cluster, options.jobCount);
		return createReport(cluster, allStats, jobs);
	} finally {
		await cluster.stop();
	}
};

const createCluster = async (): Promise<DemoCluster> => {
	const clock = createSystemClock();
	const random = createRandom();
	const logServer = createLogServer(new MemoryLog(clock, random), clock);
	const logAddress = await logServer.listen(anyAddress);
	const entries = Array.from({length: entryCount}, (_, index) => createEntry({
		clock,
		random,
		settings: createSettings({
			process: {id: `entry-${index + 1}`, stopBoundMs: 5000},
			entry: {callerAddress: anyAddress, controlAddress: anyAddress, peerAddress: anyAddress},
			log: {url: `http://${logAddress}`},
			membership: {announceEveryMs: 300},
			// A new entry first waits for one lease, as a previous owner that it does not know may be alive. Here there is none, so the
			// lease is short.
			ownership: {leaseMs: 2000, renewEveryMs: 400},
		}),
	}));
	await Promise.all(entries.map(async entry => entry.start()));
	const entryAddresses = entries.map(entry => entry.get(ServiceName.Control).getAddress());
	const checker = new GuaranteeChecker();
	const common: CommonOptions = {
		address: anyAddress,
		entryAddresses,
		clock,
		random,
		observe(event) {
			recordHostEvent(checker, event, taskResources);
		},
	};
	const hosts: StandinHost[] = users.flatMap(user => [...createUpstreams(user, common), ...createWorkers(user, common, checker)]);
	await Promise.all(hosts.map(async host => host.start()));
	return {
		clock,
		random,
		entries,
		hosts,
		checker,
		async stop() {
			await Promise.all(hosts.map(async host => host.stop()));
			await Promise.all(entries.map(async entry => entry.stop()));
			await logServer.close();
		},
	};
};

type CommonOptions = Pick<HostOptions, 'address' | 'entryAddresses' | 'clock' | 'random' | 'observe'>;

const createUpstreams = (user: User, common: CommonOptions) =>
	Array.from({length: hostsPerUser}, (_, index) => createUpstreamHost({
		id: `${user.service}-${index + 1}`,
		...common,
		service: user.service,
		region: user.region,
		failureDomain: getDomain(user, index),
		getServiceMs: path => path.includes('/long/') ? longServiceMs : checkServiceMs,
	}));

const createWorkers = (user: User, common: CommonOptions, checker: GuaranteeChecker) =>
	Array.from({length: hostsPerUser}, (_, index) => {
		const id = `${user.team}-worker-${index + 1}`;
		checker.setCapacity(id, workerCapacity);
		return createWorkerHost({
			id,
			...common,
			region: user.region,
			failureDomain: getDomain(user, index),
			rack: `${user.team}-rack-${Math.floor(index / hostsPerRack) + 1}`,
		});
	});

const getDomain = ({failureDomains}: User, index: number): string => failureDomains[index % failureDomains.length]!;

const publishConfig = async ({clock, random, entries}: DemoCluster): Promise<void> => {
	const configText = users.map(({service, region}) => `[service ${service}]\nregion = ${region}\n`).join('\n');
	const {sections} = parseConfigText(configText);
	const result = await publishChanges(getChanges(new ConfigFold(), sections), {
		log: entries[0]!.get(ServiceName.Log), clock, random, author: 'demo', timeoutMs: maxWaitMs,
	});
	if (result.verdict !== ConfigVerdict.Accepted) {
		throw new Error(result.reason);
	}

	await waitUntil(clock, () => entries.every(entry =>
		entry.get(ServiceName.Config).getOffset() >= result.offset
		&& users.every(({service}) => entry.get(ServiceName.Upstreams).getRoutable(service).length === hostsPerUser)));
};

const sendRequests = async (cluster: DemoCluster, user: User, count: number): Promise<RequestStats> => {
	const stats: RequestStats = {
		answered: 0, refused: new Map(), latencies: {[RequestClass.Check]: createHistogram(), [RequestClass.Long]: createHistogram()},
	};
	const agent = new Agent({connections: concurrency});
	let next = 0;
	const sendNext = async () => {
		while (next < count) {
			const index = next++;
			await sendOneRequest(cluster, user, index, stats, agent);
		}
	};

	await Promise.all(Array.from({length: concurrency}, sendNext));
	await agent.close();
	return stats;
};

const sendOneRequest = async (cluster: DemoCluster, user: User, index: number, stats: RequestStats, agent: Agent): Promise<void> => {
	const {clock, random, entries, checker} = cluster;
	const requestClass = index % 5 === 0 ? RequestClass.Long : RequestClass.Check;
	const entry = entries[index % entries.length]!;
	const path = `/${user.service}/${requestClass}/${index}`;
	const attemptId = `${path}#${random.id()}`;
	const requestId = requestClass === RequestClass.Long ? createRequestId(clock, random) : undefined;
	checker.recordAttemptSent(attemptId, requestId);
	const startMs = clock.monotonicMs();
	const answer = await request(`http://${entry.get(ServiceName.Callers).getAddress()}${path}`, {
		method: requestClass === RequestClass.Long ? 'POST' : 'GET',
		headers: {
			[attemptIdHeader]: attemptId,
			[Header.RequestClass]: requestClass,
			[Header.CallerId]: user.team,
			...(requestId !== undefined && {[Header.RequestId]: requestId}),
		},
		body: requestClass === RequestClass.Long ? `document ${index}` : undefined,
		dispatcher: agent,
	});
	const text = await answer.body.text();
	if (answer.statusCode !== 200) {
		const reason = String(answer.headers[Header.RefusalReason] ?? answer.statusCode);
		stats.refused.set(reason, (stats.refused.get(reason) ?? 0) + 1);
		if (answer.headers[Header.Outcome] === Outcome.NotRun) {
			checker.recordNotRun(attemptId);
		}

		return;
	}

	stats.answered++;
	stats.latencies[requestClass].recordValue(Math.round((clock.monotonicMs() - startMs) * 1000));
	checker.recordAnswer(attemptId, (JSON.parse(text) as {path: string}).path === path);
};

const runJobs = async ({clock, entries}: DemoCluster, count: number): Promise<JobStatus[]> => {
	const url = `http://${entries[0]!.get(ServiceName.Control).getAddress()}/v1/jobs`;
	const ids = users.flatMap(({team}) => Array.from({length: count}, (_, index) => ({team, jobId: `${team}-job-${index}`})));
	await Promise.all(ids.map(async ({team, jobId}) => callJson({
		method: 'POST',
		url,
		timeoutMs: maxWaitMs,
		step: 'submit job',
		body: {
			jobId,
			team,
			kind: 'rebuild-records',
			taskClass: TaskClass.Batch,
			priority: 100,
			taskCount: 3,
			isGang: false,
			isIdempotent: true,
			resources: taskResources,
			declaredRunTimeMs: 200,
			input: {runTimeMs: 200},
		},
	})));
	const jobs = entries[0]!.get(ServiceName.Jobs);
	await waitUntil(clock, () => ids.every(({jobId}) => jobs.getStatus(jobId)?.state === JobState.Succeeded));
	return ids.map(({jobId}) => jobs.getStatus(jobId)!);
};

const waitUntil = async (clock: Clock, isDone: () => boolean): Promise<void> => {
	const endMs = clock.monotonicMs() + maxWaitMs;
	while (!isDone() && clock.monotonicMs() < endMs) {
		await clock.sleep(20);
	}
};

const createReport = ({checker, entries}: DemoCluster, allStats: RequestStats[], jobs: JobStatus[]): DemoReport => {
	const offsets = entries.map(entry => entry.get(ServiceName.Config).getOffset());
	for (const entry of entries) {
		const {processId} = entry.get(ServiceName.Identity);
		checker.recordConfigOffset(processId, entry.get(ServiceName.Config).getOffset());
		checker.checkConfigApplied(processId, Math.max(...offsets));
	}

	const succeeded = jobs.filter(({state}) => state === JobState.Succeeded).length;
	const answered = allStats.reduce((sum, stats) => sum + stats.answered, 0);
	const isHeld = checker.hasNoViolation && succeeded === jobs.length && answered > 0;
	const lines = [
		...allStats.flatMap((stats, index) => describeStats(users[index]!, stats)),
		`jobs: ${succeeded} of ${jobs.length} succeeded`,
		...formatGuarantees(checker.getReport()).filter(line => !line.endsWith('not put at risk')),
		isHeld ? 'Every guarantee held for the requests and jobs sent.' : 'A guarantee was violated.',
	];
	return {isHeld, lines};
};

const describeStats = ({service}: User, {answered, refused, latencies}: RequestStats): string[] => {
	const refusals = [...refused].map(([reason, count]) => `${reason} ${count}`).join(', ') || 'none';
	return [
		`${service}: ${answered} answered; refused: ${refusals}`,
		...Object.entries(latencies).map(([name, histogram]) => {
			const [p50, p99] = [50, 99].map(percentile => (histogram.getValueAtPercentile(percentile) / 1000).toFixed(1));
			return `  ${name}: p50 ${p50} ms, p99 ${p99} ms, ${histogram.totalCount} answers`;
		}),
	];
};
