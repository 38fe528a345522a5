/**
Stand-in hosts: upstreams and workers that serve calls and announce themselves to entries.
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
	/** Starts to serve and to announce; resolves to the bound address. */
	start(): Promise<string>;
	stop(): Promise<void>;
};

type HostServer = {
	listen(address: string): Promise<string>;
	close(): Promise<void>;
};

/** Options that upstreams and workers share. */
export type HostOptions = {
	id: string;
	address: string;
	entryAddresses: string[];
	region: string;
	failureDomain: string;
	clock: Clock;
	random: Random;
	observe?: HostObserver;
	/** How long it continues to serve after it has announced that it leaves. */
	lingerMs?: number;
};

/** Capacity of an upstream, the same at both users' sites. */
export const upstreamCapacity = {slots: 8, connections: 64};
/** Capacity of a worker, the same at both users' sites. */
export const workerCapacity: Resources = {processors: 16, memoryMb: 61_440, accelerators: 0};

const defaultRunTimeMs = 50;

/** Creates a stand-in upstream that announces itself. */
export const createUpstreamHost = (options: HostOptions & {service: string; getServiceMs(path: string): number}): StandinHost => {
	const {id, clock, region, failureDomain, service} = options;
	const observe = createObserve(options);
	const upstream = createStandinUpstream({
		clock,
		getServiceMs: options.getServiceMs,
		onRan(attemptId) {
			observe({type: HostEventType.Ran, tryId: attemptId});
		},
	});
	return createHost(options, upstream, 'upstreams', {
		upstreamId: id, service, incarnation: clock.now().getTime(), region, failureDomain, ...upstreamCapacity, isGuarded: false,
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
		capacity: workerCapacity,
		clock,
		getBehaviour: getBehaviourFromInput,
		onRunning(taskId, attempt, isRunning) {
			observe({type: isRunning ? HostEventType.TaskStarted : HostEventType.TaskEnded, taskId, attempt});
		},
	});
	return createHost(options, createWorkerServer(worker, clock), 'workers', {
		workerId: id, incarnation, region, failureDomain, rack, capacity: workerCapacity,
	});
};

/** Creates a host from its server: announces it while it runs, and drains it before the server closes. */
const createHost = (options: HostOptions, server: HostServer, path: AnnouncerOptions['path'], body: Record<string, unknown>): StandinHost => {
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

/** The task's input states its run time and whether it fails; the result is the input. */
const getBehaviourFromInput = ({input}: {input?: unknown}) => {
	const {runTimeMs = defaultRunTimeMs, isFailing = false} = (input ?? {}) as {runTimeMs?: number; isFailing?: boolean};
	return {runTimeMs, isFailing, result: input};
};
