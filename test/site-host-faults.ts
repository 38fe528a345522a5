/**
Random series of faults on a simulated site that also have faults between a worker and its agent, of whole hosts, and of reads.
*/
import {agentsTopic, controlTopic} from '../src/agents/control-records.ts';
import {type StoreCall} from '../src/standin/memory-store.ts';
import {workflowsTopic} from '../src/workflows/records.ts';
import {type Fault} from './site-faults.ts';
import {
	createDelays, createSeries, playWideStep, wideFaultTypes, type Scene, type WideFault, type WideStep,
} from './site-wide-faults.ts';

/** Kinds of faults of hosts, workers and reads. */
export enum HostFault {
	LateWorkerAnswers = 'late-worker-answers',
	SuspendHost = 'suspend-host',
	DrainWorker = 'drain-worker',
	WorkerLeaves = 'worker-leaves',
	ShortLists = 'short-lists',
	LateAnnouncement = 'late-announcement',
	LateReads = 'late-reads',
	LateReadAnswers = 'late-read-answers',
}

/** A step of such a series. */
export type HostStep = WideStep<Fault | WideFault | HostFault>;

/** Bound of a delay that the callers of workers and of the store still wait for. */
const maxAnswerMs = 600;
const listedEnds = 500;

const delayReads = ({site: {store, clock}, step, host, entryName}: Scene, member: 'getDelayMs' | 'getAnswerDelayMs'): void => {
	const untilMs = clock.monotonicMs() + step.forMs;
	const getMs = createDelays(Math.min(step.detailMs, maxAnswerMs));
	const victim = [entryName, host.name, workflowsTopic, controlTopic, agentsTopic][step.detailMs % 5];
	const isHit = ({kind, ref, client}: StoreCall) => kind === 'read' && (client === victim || ref?.topic === victim);
	const before = store[member];
	store[member] = call => clock.monotonicMs() < untilMs && isHit(call) ? getMs() : before(call);
};

/** Suspends the agent and the worker's answers together; the worker's runs and leases go on. */
const suspendHost = ({host, later}: Scene): void => {
	const {clock, worker} = host;
	if (host.agent && !clock.isPaused) {
		clock.isPaused = true;
		worker.isUnresponsive = true;
		later(() => {
			worker.isUnresponsive = false;
			clock.resume();
		});
	}
};

/** Ends a worker that has said so; its agent may get the message before or after the end. */
const leave = ({site, host: {worker, agent}, step}: Scene): void => {
	const {workerId} = worker;
	worker.crash(step.forMs / 4);
	site.clock.setTimer(() => {
		agent?.handleWorkerLeave(workerId);
	}, step.detailMs % 500);
};

const hostFaults: Record<HostFault, (scene: Scene) => void> = {
	[HostFault.LateWorkerAnswers]({host: {worker}, step, later}) {
		worker.getAnswerDelayMs = createDelays(Math.min(step.detailMs, maxAnswerMs));
		later(() => {
			worker.getAnswerDelayMs = () => 0;
		});
	},
	[HostFault.SuspendHost]: suspendHost,
	[HostFault.DrainWorker](scene) {
		const {host: {worker}, later} = scene;
		worker.isDraining = true;
		later(() => {
			leave(scene);
			worker.isDraining = false;
		});
	},
	[HostFault.WorkerLeaves]: leave,
	[HostFault.ShortLists]({host: {worker}, later}) {
		worker.maxListedEnds = 1;
		later(() => {
			worker.maxListedEnds = listedEnds;
		});
	},
	[HostFault.LateAnnouncement]({site, host, step}) {
		const report = host.worker.announce();
		site.clock.setTimer(() => {
			host.agent?.handleAnnouncement(report);
		}, step.detailMs * 3);
	},
	[HostFault.LateReads](scene) {
		delayReads(scene, 'getDelayMs');
	},
	[HostFault.LateReadAnswers](scene) {
		delayReads(scene, 'getAnswerDelayMs');
	},
};

const isHostFault = (faultType: Fault | WideFault | HostFault): faultType is HostFault => faultType in hostFaults;

/** Plays one step. */
export const playHostStep = async (scene: Scene, step: HostStep): Promise<void> => {
	const {faultType} = step;
	if (isHostFault(faultType)) {
		hostFaults[faultType](scene);
	} else {
		await playWideStep(scene, {...step, faultType});
	}
};

/** Series of all kinds of faults. */
export const hostFaultSeries = createSeries<Fault | WideFault | HostFault>([...wideFaultTypes, ...Object.values(HostFault), ...Object.values(HostFault), ...Object.values(HostFault)]);
