/**
Measures the traffic between entries, their processor time and their state by number of hosts and of entries,
on complete entries that share an in-memory network and manual time.
*/
import {encode} from '@msgpack/msgpack';
import {type RunningKernel} from '../core/kernel.ts';
import {createSettings} from '../core/settings.ts';
import {createEntry} from '../plugins/entry.ts';
import {MemoryNetwork} from '../plugins/peers-memory-transport.ts';
import {type PeerTransport} from '../plugins/peers-transport.ts';
import {MemoryLog} from '../standin/memory-log.ts';
import {HostState, type UpstreamAnnouncement} from '../types/announcements.ts';
import {ServiceName} from '../types/services.ts';
import {SponsorLock} from '../utils/announcer.ts';
import {ManualClock} from '../utils/manual-clock.ts';
import {createRandom} from '../utils/seeded-random.ts';
import {getCpuUs, getHeapBytes} from './process-cost.ts';
import {fitSlope, type Sample, type Slope} from './slope.ts';

type Traffic = {
	calls: number;
	bytes: number;
};

type EntryMeasurements = {
	callsPerSecond: number;
	bytesPerSecond: number;
	announcementUs: number;
	stateBytes: number;
	appendsPerSecond: number;
};

const hostSizes = [300, 900, 2700];
const entrySizes = [3, 5, 8];
const defaultHosts = 300;
const defaultEntries = 3;
const warmUpMs = 6000;
const measuredMs = 10_000;
const announceEveryMs = 1000;
const anyAddress = '127.0.0.1:0';

/** Measures entries at several numbers of hosts and of entries. */
export const measureEntries = async (seed: number): Promise<Slope[]> => {
	const byHosts = new Map<number, EntryMeasurements>();
	for (const hosts of hostSizes) {
		byHosts.set(hosts, await runEntries(defaultEntries, hosts, seed));
	}

	const byEntries = new Map<number, EntryMeasurements>();
	for (const entries of entrySizes) {
		byEntries.set(entries, await runEntries(entries, defaultHosts, seed));
	}

	const fit = (name: string, per: string, figures: Map<number, EntryMeasurements>, pick: (figures: EntryMeasurements) => number) =>
		fitSlope(name, per, [...figures].map(([size, value]): Sample => ({size, value: pick(value)})));
	return [
		fit(`calls of one entry to ${defaultEntries - 1} peers, a second`, 'host', byHosts, ({callsPerSecond}) => callsPerSecond),
		fit(`bytes between one entry and ${defaultEntries - 1} peers, a second`, 'host', byHosts, ({bytesPerSecond}) => bytesPerSecond),
		fit('processor time of one announcement, us', 'host', byHosts, ({announcementUs}) => announcementUs),
		fit('state of one entry, bytes', 'host', byHosts, ({stateBytes}) => stateBytes),
		fit(`calls of one entry with ${defaultHosts} hosts, a second`, 'entry', byEntries, ({callsPerSecond}) => callsPerSecond),
		fit(`bytes of one entry with ${defaultHosts} hosts, a second`, 'entry', byEntries, ({bytesPerSecond}) => bytesPerSecond),
		fit('appends to the log of all entries at rest, a second', 'entry', byEntries, ({appendsPerSecond}) => appendsPerSecond),
	];
};

const runEntries = async (entryCount: number, hostCount: number, seed: number): Promise<EntryMeasurements> => {
	const clock = new ManualClock();
	const random = createRandom(seed);
	const log = new MemoryLog(clock, random);
	const network = new MemoryNetwork(clock, random);
	const traffic: Traffic = {calls: 0, bytes: 0};
	const entries: RunningKernel[] = [];
	for (let index = 0; index < entryCount; index++) {
		const entry = createEntry({
			clock,
			random,
			log,
			peerTransport: countTraffic(network.createTransport(), traffic),
			settings: createSettings({
				process: {id: `entry-${index}`},
				entry: {callerAddress: anyAddress, controlAddress: anyAddress, peerAddress: anyAddress},
				membership: {announceEveryMs},
			}),
		});
		await entry.start();
		entries.push(entry);
	}

	await clock.advance(warmUpMs);
	const stateBefore = getHeapBytes();
	const hosts = new Announcers(entries, hostCount, clock);
	for (let passedMs = 0; passedMs < warmUpMs; passedMs += announceEveryMs) {
		await hosts.announceAll();
		await clock.advance(announceEveryMs);
	}

	const stateBytes = (getHeapBytes() - stateBefore) / entryCount;
	traffic.calls = 0;
	traffic.bytes = 0;
	const appendsBefore = log.appends;
	let announcedUs = 0;
	for (let passedMs = 0; passedMs < measuredMs; passedMs += announceEveryMs) {
		announcedUs += await getCpuUs(async () => hosts.announceAll());
		await clock.advance(announceEveryMs);
	}

	const seconds = measuredMs / 1000;
	const figures = {
		callsPerSecond: traffic.calls / seconds / entryCount,
		bytesPerSecond: traffic.bytes / seconds / entryCount,
		announcementUs: announcedUs / (hostCount * measuredMs / announceEveryMs),
		stateBytes,
		appendsPerSecond: (log.appends - appendsBefore) / seconds,
	};
	await stopAll(entries, clock);
	return figures;
};

const stopAll = async (entries: RunningKernel[], clock: ManualClock): Promise<void> => {
	const status = {isStopped: false};
	const stop = async () => {
		await Promise.all(entries.map(async entry => entry.stop()));
		status.isStopped = true;
	};

	const stopping = stop();
	while (!status.isStopped) {
		await clock.advance(50);
	}

	await stopping;
};

/** Counts calls and the bytes that requests and answers take on the wire. */
const countTraffic = (transport: PeerTransport, traffic: Traffic): PeerTransport => ({
	...transport,
	async call(address, request, timeoutMs) {
		traffic.calls++;
		traffic.bytes += encode(request).length;
		const answer = await transport.call(address, request, timeoutMs);
		traffic.bytes += encode(answer).length;
		return answer;
	},
});

/** Upstreams that announce themselves to one entry each and echo its replies. */
class Announcers {
	readonly #locks: SponsorLock[];
	readonly #entries: RunningKernel[];
	readonly #incarnation: number;
	#sequence = 0;

	constructor(entries: RunningKernel[], count: number, clock: ManualClock) {
		this.#entries = entries;
		this.#locks = Array.from({length: count}, () => new SponsorLock(clock));
		this.#incarnation = clock.now().getTime();
	}

	async announceAll(): Promise<void> {
		this.#sequence++;
		await Promise.all(this.#locks.map(async (lock, index) => {
			const echo = lock.getEcho();
			const entry = this.#entries[index % this.#entries.length]!;
			lock.handleReply(await entry.get(ServiceName.Upstreams).receive({...this.#create(index), ...echo}), echo);
		}));
	}

	#create(index: number): UpstreamAnnouncement {
		return {
			upstreamId: `desk-${index}`,
			service: 'lading-desk',
			incarnation: this.#incarnation,
			sequence: this.#sequence,
			state: HostState.Alive,
			address: `127.0.0.1:${10_000 + index}`,
			region: 'scot-central',
			failureDomain: `hall-${index % 3}`,
			slots: 8,
			connections: 64,
			isGuarded: false,
		};
	}
}
