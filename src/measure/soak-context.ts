/**
Starts the processes of a soak run and holds the state that its concurrent tasks share.
*/
import {createLogClient, type LogClient} from '../plugins/log-client.ts';
import {workerCapacity} from '../standin/hosts.ts';
import {type Clock} from '../types/clock.ts';
import {type Resources} from '../types/platform.ts';
import {type Random} from '../types/random.ts';
import {createRandom} from '../utils/seeded-random.ts';
import {createSystemClock} from '../utils/system-clock.ts';
import {recordHostEvent} from './host-event-recorder.ts';
import {GuaranteeChecker} from './guarantee-checker.ts';
import {
	findFreePorts, ProcessPool, Role, type SoakProcess,
} from './soak-processes.ts';

/** Options of a soak run. */
export type SoakOptions = {
	binary: string;
	seed: number;
	durationMs: number;
	entryCount: number;
	hostsPerUser: number;
	ratePerSecond: number;
	/** Mean interval between two faults; no faults if undefined. */
	faultEveryMs?: number;
	report(line: string): void;
};

/** An entry and the addresses where it listens. */
export type EntryAddresses = {
	entry: SoakProcess;
	caller: string;
	control: string;
	/** Result of the latest readiness check; true before the first one. */
	isReady: boolean;
};

/** State shared by the concurrent tasks of a run. */
export type SoakContext = {
	options: SoakOptions;
	clock: Clock;
	random: Random;
	checker: GuaranteeChecker;
	pool: ProcessPool;
	log: LogClient;
	logUrl: string;
	entries: EntryAddresses[];
	faults: Map<string, number>;
	/** By process name: the process need not have applied changes that were accepted before this time. */
	configGraceUntilMs: Map<string, number>;
	logGraceUntilMs: number;
	isLogDown: boolean;
	signal: AbortSignal;
	jobs: Map<string, string | undefined>;
};

/** Regions, services, teams and failure domains of both users. */
export const regions = [
	{
		name: 'scot-central', service: 'lading-desk', team: 'clydeside', failureDomains: ['leith-hall', 'govan-hall', 'grange-hall'],
	},
	{
		name: 'bagmati', service: 'tariff-relief', team: 'authority', failureDomains: ['hall-ktm', 'hall-ltp', 'hall-bkt', 'hall-hetauda'],
	},
];
/** Resources of every task of a run. */
export const taskResources: Resources = {processors: 4, memoryMb: 8192, accelerators: 0};
/** Time-out of calls that the run itself makes. */
export const callTimeoutMs = 2000;
const lingerMs = 3500;

/** Starts all processes of a run. */
export const createSoakContext = async (options: SoakOptions, signal: AbortSignal): Promise<SoakContext> => {
	const checker = new GuaranteeChecker();
	const pool = new ProcessPool(options.binary, event => {
		recordHostEvent(checker, event, taskResources);
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
		return {
			entry: pool.add(`entry-${index + 1}`, Role.Entry, ['entry', '--settings', file]), caller, control, isReady: true,
		};
	});
	const controls = entries.map(({control}) => control).join(',');
	for (const {name, service, team, failureDomains} of regions) {
		for (let index = 0; index < options.hostsPerUser; index++) {
			const location = ['--entries', controls, '--region', name, '--failure-domain', failureDomains[index % failureDomains.length]!, '--events'];
			pool.add(`${service}-${index + 1}`, Role.Upstream, ['standin', 'upstream', '--id', `${service}-${index + 1}`, '--service', service, '--linger-ms', String(lingerMs), ...location]);
			const workerId = `${team}-worker-${index + 1}`;
			checker.setCapacity(workerId, workerCapacity);
			pool.add(workerId, Role.Worker, ['standin', 'worker', '--id', workerId, '--rack', `${team}-rack-${Math.floor(index / 3) + 1}`, ...location]);
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
		configGraceUntilMs: new Map(),
		logGraceUntilMs: 0,
		isLogDown: false,
		signal,
		jobs: new Map(),
	};
};
