/**
Stand-in hosts: an upstream or a worker, served and announced.
*/
import {type Clock} from '../types/clock.ts';
import {type Resources} from '../types/platform.ts';
import {type Random} from '../types/random.ts';
import {startAnnouncer, type Announcer, type AnnouncerOptions} from '../utils/announcer.ts';
import {HostEventType, type HostEvent, type HostObserver} from './host-events.ts';
import {MemoryWorker} from './memory-worker.ts';
import {createStandinUpstream} from './upstream-server.ts';
import {createWorkerServer} from './worker-server.ts';

/** A host that can be started and stopped. */
export type StandinHost = {
	/** Resolves to the address bound. */
	start(): Promise<string>;
	stop(): Promise<void>;
};

type Served = {
	listen(address: string): Promise<string>;
	close(): Promise<void>;
};

/** What all stand-in hosts need. */
export type HostOptions = {
	id: string;
	address: string;
	entryAddresses: string[];
	region: string;
	failureDomain: string;
	clock: Clock;
	random: Random;
	observe?: HostObserver;
	/** How long it goes on serving after it said that it leaves. */
	lingerMs?: number;
};

/** Shape of an upstream of both users. */
export const upstreamShape = {slots: 8, connections: 64};
/** Shape of a worker of both users. */
export const workerShape: Resources = {processors: 16, memoryMb: 61_440, accelerators: 0};

const defaultRunTimeMs = 50;

/** Creates a stand-in upstream that announces itself. */
export const createUpstreamHost = (options: HostOptions & {service: string; getServiceMs(path: string): number}): StandinHost => {
	const {id, clock, region, failureDomain, service} = options;
	const observe = createObserve(options);
	const upstream = createStandinUpstream({
		clock,
		getServiceMs: options.getServiceMs,
		onRan(tryId) {
			observe({type: HostEventType.Ran, tryId});
		},
	});
	return createHost(options, upstream, 'upstreams', {
		upstreamId: id, service, incarnation: clock.now().getTime(), region, failureDomain, ...upstreamShape, isGuarded: false,
	});
};

/** Creates a stand-in worker that announces itself. */
export const createWorkerHost = (options: HostOptions & {rack: string}): StandinHost => {
	const {id, clock, region, failureDomain, rack} = options;
	const incarnation = clock.now().getTime();
	const observe = createObserve(options);
	const worker = new MemoryWorker({
		workerId: id,
		incarnation,
		capacity: workerShape,
		clock,
		getBehaviour: getDeclaredBehaviour,
		onRunning(taskId, attempt, isRunning) {
			observe({type: isRunning ? HostEventType.TaskStarted : HostEventType.TaskEnded, taskId, attempt});
		},
	});
	return createHost(options, createWorkerServer(worker, clock), 'workers', {
		workerId: id, incarnation, region, failureDomain, rack, capacity: workerShape,
	});
};

/** Serves, announces and, when it stops, drains a host. */
const createHost = (options: HostOptions, server: Served, path: AnnouncerOptions['path'], body: Record<string, unknown>): StandinHost => {
	const {clock, random, entryAddresses, lingerMs = 0} = options;
	const observe = createObserve(options);
	let announcer: Announcer | undefined;
	return {
		async start() {
			const address = await server.listen(options.address);
			observe({type: HostEventType.Listening, address});
			announcer = startAnnouncer({
				clock, random, entryAddresses, path, body: {...body, address},
			});
			return address;
		},
		async stop() {
			await announcer?.drain();
			observe({type: HostEventType.Leaving});
			await clock.sleep(lingerMs);
			announcer?.stop();
			await server.close();
		},
	};
};

const createObserve = ({id, clock, observe}: HostOptions) => (event: Omit<HostEvent, 'hostId' | 'atMs'>) => {
	observe?.({...event, hostId: id, atMs: clock.now().getTime()});
};

/** A task runs as long as its input says, and gives its input back. */
const getDeclaredBehaviour = ({input}: {input?: unknown}) => {
	const {runTimeMs = defaultRunTimeMs, isFailing = false} = (input ?? {}) as {runTimeMs?: number; isFailing?: boolean};
	return {runTimeMs, isFailing, result: input};
};
