/**
The role on hosts that callers reach: takes jobs, answers for them, and schedules those of the partitions it owns.
*/
import {createServer} from 'node:http';
import {agentsTopic} from '../agents/control-records.ts';
import {leaseHorizonMs} from '../agents/lease-clock.ts';
import {createError, ErrorCode} from '../core/errors.ts';
import {getPartition} from '../core/partitions.ts';
import {createCallerServer} from '../platform/caller-server.ts';
import {
	configKey, decodeSiteConfig, getEvacuatedDomain, operatorTopic,
} from '../platform/site-config.ts';
import {createAdviceClient} from '../platform/advice-calls.ts';
import {createStoreClient} from '../platform/store-calls.ts';
import {type JobApi} from '../types/job-api.ts';
import {type SiteConfig, type SiteSettings} from '../types/site.ts';
import {type HttpClient} from '../utils/http-calls.ts';
import {close, createJsonServer, listen} from '../utils/http-server.ts';
import {alivePath} from '../utils/metrics-page.ts';
import {ConfigFollower} from '../workflows/config-follower.ts';
import {EntryDirectory} from '../workflows/entry-directory.ts';
import {WorkflowApi} from '../workflows/workflow-api.ts';
import {WorkflowFollower} from '../workflows/follower.ts';
import {Owner} from '../workflows/owner.ts';
import {formatMember, Ownership} from '../workflows/ownership.ts';
import {createPolicy} from '../workflows/policy.ts';
import {findQueue} from '../workflows/queues.ts';
import {RelayingApi} from '../workflows/relaying-api.ts';
import {workflowsTopic} from '../workflows/records.ts';
import {createAgentClient} from './agent-messages.ts';
import {createEntryClient, serveEntry} from './entry-messages.ts';
import {runSiteProcess, type SiteProcess} from './site-process.ts';

/** After SIGTERM callers are served for so long: the balancer takes two misses, a second each, to send them elsewhere. */
const leaveMs = 2300;

/**
An entry that has not reached the store for so long sends callers elsewhere: the store may turn away this host alone. If
it is away for all, the balancer uses all entries again.
*/
const storeLostMs = 800;

/** Runs the role until it is told to stop. */
export const runSiteEntry = async (site: SiteSettings): Promise<void> => runSiteProcess('entry', site, async parts => {
	const {clock, note, signal, metrics, load, internalAddress} = parts;
	const {callersAddress, readinessAddress} = site;
	if (callersAddress === undefined || readinessAddress === undefined) {
		throw createError(ErrorCode.BadSettings, {step: 'start entry', detail: 'the settings name no address for callers'});
	}

	const {config, jobs, ownership, directory, isStoreLost, isStoreFailing, isCaughtUp} = createParts(parts);
	let isLeaving = false;
	const isReady = () => !isLeaving && isCaughtUp() && !isStoreLost() && !load.isOverloaded;
	const callers = createCallerServer({
		jobs: createRelay(parts, {jobs, directory, isStoreLost}),
		clock,
		findQueue,
		// A caller on an open connection stays here unless it is told to connect anew.
		isClosing: () => !isReady(),
		onAnswer({method, queue, id, status, reason, tookMs}) {
			metrics.observe(`${method} ${status}`, tookMs);
			note('answered', {
				method, queue, id, status, reason, tookMs: Math.round(tookMs),
			});
		},
	});
	const readiness = createServer((_, response) => {
		response.writeHead(isReady() ? 200 : 503);
		response.end();
	});
	const peers = createJsonServer(clock);
	serveEntry(peers, jobs, isStoreFailing);
	await peers.listen(internalAddress);
	await listen(readiness, readinessAddress);
	await listen(callers, callersAddress);
	void config.run(signal);
	void ownership.run(signal);
	void directory.run(signal);
	return async () => {
		isLeaving = true;
		await Promise.all([ownership.leave(), directory.leave(), clock.sleep(leaveMs)]);
		await Promise.all([close(callers), close(readiness), peers.close()]);
	};
});

/** Set by a build for trials; what ships leaves nothing out. */
declare const LEFT_OUT: string | undefined;
const policy = createPolicy(typeof LEFT_OUT === 'string' ? LEFT_OUT : '');

const aliveTimeoutMs = 600;

/** Any answer tells that the process lives. */
const isAnswering = async (http: HttpClient, address: string): Promise<boolean> => {
	try {
		await http.call({
			address, method: 'GET', path: alivePath, timeoutMs: aliveTimeoutMs, step: 'ask whether an owner lives',
		});
		return true;
	} catch {
		// No answer is the answer that was asked for.
		return false;
	}
};

const createRelay = ({clock, http, note}: SiteProcess, {jobs, directory, isStoreLost}: {jobs: JobApi; directory: EntryDirectory; isStoreLost: () => boolean}): JobApi => new RelayingApi({
	local: jobs, client: createEntryClient(http), clock, getOthers: () => directory.others, isStoreLost, note,
});

const createParts = ({site, clock, http, streams, note, life, signal, metrics, metricsAddress, internalAddress}: SiteProcess) => {
	const store = createStoreClient(http, site.store.address);
	const {partitions, maxCallBytes, minMemberTtlMs, keptMs} = site.store;
	const client = createAgentClient(streams);
	const adviceClient = site.adviceAddress === undefined ? undefined : createAdviceClient(http, site.adviceAddress);
	const followers = new Map<number, WorkflowFollower>();
	const lostSinceMs = new Map<number, number>();
	const isStoreLost = () => [...lostSinceMs.values()].some(sinceMs => clock.monotonicMs() - sinceMs > storeLostMs);
	const getFollower = (partition: number): WorkflowFollower => {
		let follower = followers.get(partition);
		if (!follower) {
			follower = new WorkflowFollower({
				store,
				clock,
				ref: {topic: workflowsTopic, partition},
				onStoreState(isReached, detail) {
					if (isReached === lostSinceMs.has(partition)) {
						note(isReached ? 'store reached' : 'store lost', {partition, detail});
					}

					if (isReached) {
						lostSinceMs.delete(partition);
					} else if (!lostSinceMs.has(partition)) {
						lostSinceMs.set(partition, clock.monotonicMs());
					}
				},
				onInvalid(offset, detail) {
					note('job record not valid', {partition, offset, detail});
				},
			});
			followers.set(partition, follower);
			void follower.run(signal);
		}

		return follower;
	};

	const follow = ({services}: SiteConfig) => {
		for (const {name} of services) {
			getFollower(getPartition(name, partitions));
		}
	};

	const config = new ConfigFollower({
		store,
		clock,
		note,
		ref: {topic: operatorTopic, partition: 0},
		key: configKey,
		getEvacuatedDomain,
		decode: decodeSiteConfig,
		onConfig(siteConfig, offset) {
			note('configuration in force', {version: siteConfig.version, offset, queues: siteConfig.queues.length});
			follow(siteConfig);
		},
	});
	const jobs = new WorkflowApi({
		store,
		clock,
		partitions,
		maxCallBytes,
		getFollower,
		isStoreLost,
		producer: `${site.hostName}-${life}`,
		getConfig: () => config.config,
		onWriterNote(event, detail) {
			note(`store ${event}`, {detail, writer: 'jobs'});
		},
	});
	const isCaughtUp = () => config.config !== undefined && [...followers.values()].every(follower => follower.isCaughtUp);
	const ownership = new Ownership({
		store,
		clock,
		note,
		group: 'owners',
		topic: workflowsTopic,
		member: formatMember(metricsAddress, site.processors, life),
		processors: site.processors,
		async countWorkers() {
			const {records} = await store.newest({topic: agentsTopic, partition: 0});
			return records.length;
		},
		isAlive: async address => isAnswering(http, address),
		minTtlMs: minMemberTtlMs,
		isUsed: partition => followers.has(partition),
		getProvenAtMs: () => isCaughtUp() ? Math.min(...[...followers.values()].map(({provenAtMs}) => provenAtMs)) : Number.NEGATIVE_INFINITY,
		createOwner: (partition, epoch, {onDeposed, getReachedAtMs}) => new Owner({
			store,
			clock,
			client,
			adviceClient,
			partition,
			epoch,
			maxCallBytes,
			keptMs,
			leaseHorizonMs,
			cancelMs: site.bounds.cancelMs,
			getEvacuations: () => config.evacuations,
			getReachedAtMs,
			note,
			onDeposed,
			policy,
			host: site.hostName,
			follower: getFollower(partition),
			isMine: ({service}) => getPartition(service, partitions) === partition,
		}),
	});
	metrics.addGauge('chervilworks_partitions_owned', 'Partitions that this entry owns.', () => ownership.owners.size);
	const directory = new EntryDirectory({
		store, clock, life, note, registration: {host: site.hostName, address: internalAddress},
	});
	return {
		config, jobs, ownership, directory, isStoreLost, isCaughtUp, isStoreFailing: () => lostSinceMs.size > 0,
	};
};
