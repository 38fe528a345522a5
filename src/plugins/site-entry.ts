/**
The entry role, on hosts that callers connect to: accepts jobs, answers requests about them, and schedules the jobs of the
partitions that it owns.
*/
import {createServer} from 'node:http';
import {agentsTopic} from '../agents/control-records.ts';
import {RegistrationReader} from '../agents/registration-reader.ts';
import {leaseDurationMs} from '../agents/worker-lease.ts';
import {createError, ErrorCode} from '../core/errors.ts';
import {getPartition} from '../core/partitions.ts';
import {Feature, type Features} from '../core/site-features.ts';
import {createCallerServer} from '../platform/caller-server.ts';
import {
	configKey, decodeSiteConfig, getEvacuatedDomain, operatorTopic,
} from '../platform/site-config.ts';
import {createAdviceClient} from '../platform/advice-calls.ts';
import {createStoreClient} from '../platform/store-calls.ts';
import {type JobApi} from '../types/job-api.ts';
import {type SiteConfig, type SiteSettings} from '../types/site.ts';
import {isPeerAddress} from '../utils/address.ts';
import {createRandom} from '../utils/seeded-random.ts';
import {type HttpClient} from '../utils/keep-alive-client.ts';
import {close, createJsonServer, listen} from '../utils/http-server.ts';
import {alivePath, incarnationHeader} from '../utils/metrics-page.ts';
import {ConfigFollower} from '../workflows/config-follower.ts';
import {EntryDirectory} from '../workflows/entry-directory.ts';
import {WorkflowApi} from '../workflows/workflow-api.ts';
import {WorkflowFollower} from '../workflows/follower.ts';
import {Followers} from '../workflows/followers.ts';
import {Owner} from '../workflows/owner.ts';
import {formatMember, Ownership} from '../workflows/ownership.ts';
import {createPolicy} from '../workflows/policy.ts';
import {findQueue} from '../workflows/queues.ts';
import {QueueHomes} from '../workflows/queue-homes.ts';
import {RelayingApi} from '../workflows/relaying-api.ts';
import {workflowsTopic} from '../workflows/records.ts';
import {createAgentClient} from './agent-messages.ts';
import {createEntryClient, serveEntry} from './entry-messages.ts';
import {createRegistration, createRouting} from './entry-routing.ts';
import {runSiteProcess, type SiteProcess} from './site-process.ts';

/**
How long callers are still served after SIGTERM: the load balancer stops sending them here after two failed health checks,
one second apart.
*/
const drainDelayMs = 2300;

/**
After this time without an answer from the store, the entry reports itself as not ready, because the store may be unreachable
from this host alone. If it is unreachable from all hosts, the load balancer uses all entries again.
*/
const storeUnreachableAfterMs = 800;

/** Runs the role with the features that are on, until SIGTERM or SIGINT. */
export const runSiteEntry = async (site: SiteSettings, features: Features): Promise<void> => runSiteProcess('entry', site, async parts => {
	const {clock, note, signal, metrics, load, internalAddress} = parts;
	const {callersAddress, readinessAddress} = site;
	if (callersAddress === undefined || readinessAddress === undefined) {
		throw createError(ErrorCode.BadSettings, {step: 'start entry', detail: 'the site settings lack the address for callers or the address for readiness checks'});
	}

	note('features', {on: Object.values(Feature).filter(feature => features[feature])});
	const {config, homes, jobs, ownership, directory, isStoreLost, isStoreFailing, isCaughtUp, getStalenessMs, describeView} = createComponents(parts, features, () => routing?.router.isForwarding ?? false);
	let isLeaving = false;
	const isReady = () => !isLeaving && isCaughtUp() && !isStoreLost() && !(routing ? routing.router.isWithdrawn(load.isOverloaded) : load.isOverloaded);
	const fallback = createRelayingApi(parts, {jobs, directory, isStoreLost});
	const routing = features[Feature.EntryRouting]
		? createRouting(parts, {
			own: createRegistration(parts), local: jobs, fallback, getOthers: () => directory.others, getStalenessMs, isStoreFailing, isReady,
		})
		: undefined;
	const callers = createCallerServer({
		jobs: routing?.jobs ?? fallback,
		clock,
		findQueue,
		// A caller with an open connection keeps using this entry unless the answer closes the connection.
		isClosing: () => !isReady(),
		onAnswer({method, queue, id, status, reason, tookMs, pendingCount, state}) {
			metrics.observe(`${method} ${status}`, tookMs);
			note('answered', {
				method, queue, id, status, reason, tookMs: Math.round(tookMs), pendingCount, state, ...(method === 'GET' && describeView(queue)),
			});
		},
	});
	const readiness = createServer((_, response) => {
		response.writeHead(isReady() ? 200 : 503);
		response.end();
	});
	const peers = createJsonServer(clock);
	serveEntry(peers, jobs, isStoreFailing, routing?.router);
	await peers.listen(internalAddress);
	await listen(readiness, readinessAddress);
	await listen(callers, callersAddress);
	void config.run(signal);
	void homes.run(signal);
	void ownership.run(signal);
	void directory.run(signal);
	void routing?.router.run(signal);
	return async () => {
		isLeaving = true;
		await Promise.all([ownership.leave(), directory.leave(), clock.sleep(drainDelayMs)]);
		await Promise.all([close(callers), close(readiness), peers.close()]);
	};
});

/** Parts of the policy that a build for trials disables; undefined in release builds. */
declare const LEFT_OUT: string | undefined;
const policy = createPolicy(typeof LEFT_OUT === 'string' ? LEFT_OUT : '');

const aliveTimeoutMs = 600;

/** Whether the process at the address is alive and in that incarnation. One that does not tell its incarnation may be in it. */
const isProcessAlive = async (http: HttpClient, address: string, incarnation: string): Promise<boolean> => {
	try {
		const {headers} = await http.call({
			address, method: 'GET', path: alivePath, timeoutMs: aliveTimeoutMs, step: 'check that an owner is alive',
		});
		return (headers[incarnationHeader] ?? incarnation) === incarnation;
	} catch {
		// A process that does not answer counts as not alive.
		return false;
	}
};

const roundDefined = (value: number | undefined): number | undefined => value === undefined ? undefined : Math.round(value);

const createRelayingApi = ({clock, http, note}: SiteProcess, {jobs, directory, isStoreLost}: {jobs: JobApi; directory: EntryDirectory; isStoreLost: () => boolean}): JobApi => new RelayingApi({
	local: jobs, client: createEntryClient(http), clock, getOthers: () => directory.others, isStoreLost, note,
});

const createComponents = (parts: SiteProcess, features: Features, isLate: () => boolean) => {
	const {site, clock, http, streams, note, incarnation, signal, metrics, metricsAddress} = parts;
	const store = createStoreClient(http, site.store.address);
	const {partitions, maxCallBytes, minMemberTtlMs, retentionMs} = site.store;
	const client = createAgentClient(streams);
	const adviceClient = site.adviceAddress === undefined ? undefined : createAdviceClient(http, site.adviceAddress);
	const unreachableSinceMs = new Map<number, number>();
	const isStoreLost = () => [...unreachableSinceMs.values()].some(sinceMs => clock.monotonicMs() - sinceMs > storeUnreachableAfterMs);
	const followers = new Followers(partition => {
		const follower = new WorkflowFollower({
			store,
			clock,
			ref: {topic: workflowsTopic, partition},
			isSlowed: isLate,
			onStoreState(isReached, detail) {
				if (isReached === unreachableSinceMs.has(partition)) {
					note(isReached ? 'store reached' : 'store lost', {partition, detail});
				}

				if (isReached) {
					unreachableSinceMs.delete(partition);
				} else if (!unreachableSinceMs.has(partition)) {
					unreachableSinceMs.set(partition, clock.monotonicMs());
				}
			},
			onInvalid(offset, detail) {
				note('job record not valid', {partition, offset, detail});
			},
		});
		void follower.run(signal);
		return follower;
	});
	const getFollower = (partition: number): WorkflowFollower => followers.get(partition);

	const followServices = ({services}: SiteConfig) => {
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
			followServices(siteConfig);
			void homes.prepare(siteConfig.queues);
		},
	});
	const homes = new QueueHomes({
		store,
		clock,
		note,
		onHome(service) {
			getFollower(getPartition(service, partitions));
		},
	});
	const getHomeOf = (queueName: string): string | undefined => {
		const queue = config.config?.queues.find(({name}) => name === queueName);
		return queue && homes.get(queue);
	};

	const jobs = new WorkflowApi({
		store,
		clock,
		partitions,
		homes,
		maxCallBytes,
		getFollower,
		isStoreLost,
		producer: `${site.hostName}-${incarnation}`,
		note,
		admission: features[Feature.Admission] ? {refusesLate: features[Feature.LateRefusals], random: createRandom(), note} : undefined,
		getConfig: () => config.config,
		onWriterEvent(event, detail) {
			note(`store ${event}`, {detail, writer: 'jobs'});
		},
	});
	/** Describes what this entry has read of the queue's partition, for the log. */
	const describeView = (queueName: string | undefined) => {
		const queue = config.config?.queues.find(({name}) => name === queueName);
		const partition = queue && getPartition(queue.service, partitions);
		const follower = partition !== undefined && followers.has(partition) ? getFollower(partition) : undefined;
		return follower && {offset: follower.fold.offset, isCaughtUp: follower.isCaughtUp, stalenessMs: roundDefined(follower.stalenessMs)};
	};

	/** Staleness of the oldest view; undefined: one is not complete yet. */
	const getStalenessMs = () => isCaughtUp() ? clock.monotonicMs() - Math.min(clock.monotonicMs(), followers.caughtUpAtMs) : undefined;
	const isCaughtUp = () => config.config !== undefined && followers.areCaughtUp;
	const reader = new RegistrationReader({maxLeaseMs: Math.max(leaseDurationMs, site.bounds.maxLeaseMs), isAddress: isPeerAddress, note});
	const ownership = new Ownership({
		store,
		clock,
		note,
		group: 'owners',
		topic: workflowsTopic,
		member: formatMember(metricsAddress, site.processors, incarnation),
		processors: site.processors,
		async countWorkers() {
			const {records} = await store.readNewest({topic: agentsTopic, partition: 0});
			return reader.count(records);
		},
		isAlive: async (address, memberIncarnation) => isProcessAlive(http, address, memberIncarnation),
		minTtlMs: minMemberTtlMs,
		hasService: partition => followers.has(partition),
		getCaughtUpAtMs: () => isCaughtUp() ? followers.caughtUpAtMs : Number.NEGATIVE_INFINITY,
		createOwner: (partition, epoch, {onSuperseded, onGap, getHeartbeatAtMs}) => new Owner({
			store,
			clock,
			client,
			adviceClient,
			partition,
			partitions,
			getFollower,
			epoch,
			maxCallBytes,
			retentionMs,
			leaseDurationMs,
			gangTimeoutMs: site.bounds.gangTimeoutMs,
			cancelMs: site.bounds.cancelMs,
			getEvacuations: () => config.evacuations,
			getHeartbeatAtMs,
			note,
			onSuperseded,
			onGap,
			policy,
			features,
			host: site.hostName,
			follower: getFollower(partition),
			getHome: getHomeOf,
			reader,
			isOwned: ({service}) => getPartition(service, partitions) === partition,
		}),
	});
	metrics.addGauge('chervilworks_partitions_owned', 'Partitions that this entry owns.', () => ownership.owners.size);
	const directory = new EntryDirectory({
		store, clock, life: incarnation, note, isAddress: isPeerAddress, registration: createRegistration(parts),
	});
	return {
		config, homes, jobs, ownership, directory, isStoreLost, isCaughtUp, getStalenessMs, describeView, isStoreFailing: () => unreachableSinceMs.size > 0,
	};
};
