/**
The owner's view of the workers of its services: their capacity, their active runs, and whether they accept more.
*/
import {type HealthSubject} from '../jobs/worker-health.ts';
import {type Capacity, type WorkerReport} from '../types/fleet.ts';
import {type WorkflowStep} from '../types/workflows.ts';
import {PeerClock} from '../utils/peer-clock.ts';
import {type Throttles} from './best-effort-interference.ts';
import {type LiveRun, type LiveWorkflow} from './live-model.ts';

/** Declaration that one registration of an agent is lost. */
export type AgentLoss = {
	/** Session of the registration. */
	readonly session: number;
	/** When the declaration was known to be stored: its answer was handled, or the record of an earlier owner read. Undefined until later owners know of it too. */
	storedAtMs?: number;
};

/** Departure of an agent, as read from its registration. */
export type FleetDeparture = {
	/** Session of the registration. */
	readonly session: number;
	/** When all leases that the agent had granted have expired. */
	readonly leasesExpireAtMs: number;
	/** Whether the removal of the registration was requested. */
	isRemovalRequested: boolean;
};

/** One worker with its agent, as last reported. */
export type FleetWorker = {
	host: string;
	/** Service of its newest known registration: the only one whose tasks may start there. */
	service: string;
	address: string;
	/** Offset of the agent's newest known registration. */
	session: number;
	/** Offset of its first registration since all earlier leases had expired, as of the newest registration that was read. */
	firstSession: number;
	/** Incarnation of the agent. */
	agentLife: string;
	/** When this incarnation of the agent first answered; undefined before. An earlier one may have renewed leases until then. */
	agentIncarnationSinceMs?: number;
	/** Version of the last state received from the agent. */
	version: number;
	report: WorkerReport | undefined;
	/** When the newest announcement was first seen. */
	reportedAtMs?: number;
	/** How much longer the worker is slow after its start, as of the last cycle. */
	warmupRemainingMs?: number;
	coldSinceMs?: number;
	/** Share of its free processors that new tasks may take; undefined: all. */
	openShare?: number;
	/** Whether this incarnation of the agent has listed the worker's runs, or knows that nothing runs on its host. */
	isListed: boolean;
	/** Whether the agent was declared lost since this owner's claim and all its leases from before have expired. */
	haveOldLeasesExpired: boolean;
	/** Whether all leases of the worker had expired when the agent built the newest state. */
	areLeasesExpired: boolean;
	/** Number of listings in the first state of this incarnation of the agent that was handled; undefined: not known. */
	firstListings?: number;
	/** Whether the worker answers its agent. */
	isAnswering: boolean;
	/** When the agent's last reply was handled, and the reading of the worker's clock in it; 0: this process of the agent has not read it. */
	lastReplyAtMs: number;
	workerClockMs: number;
	/** When the poll was sent whose answer was handled last: the agent built its state after that. */
	stateAsOfMs: number;
	/** Estimate of the monotonic clock of the agent's incarnation. */
	agentClock: PeerClock;
	/** Since when the agent does not answer; undefined while it does. */
	unresponsiveSinceMs?: number;
	/** The loss of the agent that is being or was declared; undefined: it counts as present. */
	loss?: AgentLoss;
	/** The departure of the agent under its newest registration, or an older one. */
	departure?: FleetDeparture;
	/** Incarnations of the agent that another one has replaced. */
	replacedIncarnations: Set<string>;
	runs: Set<LiveRun>;
	/** Jobs whose input was sent to this incarnation of the agent, which keeps it; undefined: the agent keeps no inputs. */
	sentInputs: WeakSet<LiveWorkflow> | undefined;
	/** Health by the outcomes of its runs: whether the worker gets no tasks, or a single one as a probe. */
	health: HealthSubject;
	/** Ends up to this number have been processed. */
	processedEnd: number;
	/** Ends up to this number are stored in the stream. */
	storedEnd: number;
	/** Whether a task has succeeded there since the last crash that was reported to this owner. */
	hasSucceededSinceCrash: boolean;
	/** Crashed runs up to this number have been processed; numbers restart with each incarnation of the agent. */
	processedCrash: number;
	/** Crashed runs up to this number are stored in the stream. */
	storedCrash: number;
	/** Nothing is placed there before this; set after refusals. */
	blockedUntilMs: number;
	/** When a stop of a run of an unknown task was last ordered. */
	unknownRunStopAtMs: number;
	/** Throttles of best-effort tasks, by image. */
	throttles: Throttles;
	/** Whether best-effort tasks are stopped because a latency-critical one has exceeded its target for too long. */
	isBestEffortStopped: boolean;
	/** Processor use of each best-effort image, over the last second or so. */
	bestEffortUsage: Array<{atMs: number; used: Map<string, number>}>;
	/** When the interference model was last updated from this worker. */
	interferenceLearnedAtMs: number;
};

/** Creates the view of a worker whose agent has registered and has not answered yet. */
export const createFleetWorker = ({host, service, address, session, firstSession, nowMs}: Pick<FleetWorker, 'host' | 'service' | 'address' | 'session' | 'firstSession'> & {nowMs: number}): FleetWorker => ({
	host,
	service,
	address,
	session,
	firstSession,
	agentLife: '',
	version: 0,
	report: undefined,
	isListed: false,
	haveOldLeasesExpired: false,
	areLeasesExpired: false,
	isAnswering: false,
	lastReplyAtMs: Number.NEGATIVE_INFINITY,
	stateAsOfMs: Number.NEGATIVE_INFINITY,
	agentClock: new PeerClock(),
	workerClockMs: 0,
	unresponsiveSinceMs: nowMs,
	replacedIncarnations: new Set(),
	runs: new Set(),
	sentInputs: undefined,
	health: {spec: {workerId: host}, isHeld: false, isProbing: false},
	processedEnd: 0,
	storedEnd: 0,
	hasSucceededSinceCrash: false,
	processedCrash: 0,
	storedCrash: 0,
	blockedUntilMs: 0,
	unknownRunStopAtMs: Number.NEGATIVE_INFINITY,
	throttles: new Map(),
	isBestEffortStopped: false,
	bestEffortUsage: [],
	interferenceLearnedAtMs: Number.NEGATIVE_INFINITY,
});

/** Whether the agent has been told to stop, and no later process of it has registered. */
export const hasDeparted = ({departure, session}: FleetWorker): boolean => departure !== undefined && departure.session >= session;

/** Processors that a task of the step takes from a worker's capacity: best-effort tasks take none. */
export const getReservedMilliCpu = (step: WorkflowStep): number => step.isFilling ? 0 : step.milliCpu;

/** Capacity that active runs leave free. */
export const getFreeCapacity = (worker: FleetWorker): Capacity => {
	const free = {milliCpu: 0, memoryMb: 0, accelerators: 0};
	if (worker.report) {
		free.milliCpu = worker.report.milliCpu;
		free.memoryMb = worker.report.memoryMb;
		free.accelerators = worker.report.accelerators;
	}

	for (const {task: {step: {spec}}} of worker.runs) {
		free.milliCpu -= getReservedMilliCpu(spec);
		free.memoryMb -= spec.memoryMb;
		free.accelerators -= spec.accelerators;
	}

	return free;
};

/** Rack label of a worker: the one of the form `r…-…`; labels also contain the worker's kind. */
export const getRack = (report: WorkerReport): string | undefined => report.labels.find(label => /^r\d*-/.test(label));

/** Whether the worker has the label and the total capacity that a task of the step needs. */
export const isSuited = (step: WorkflowStep, report: WorkerReport): boolean =>
	(step.requiredLabel === undefined || report.labels.includes(step.requiredLabel))
	&& getReservedMilliCpu(step) <= report.milliCpu && step.memoryMb <= report.memoryMb && step.accelerators <= report.accelerators;

/** Whether a task of the step fits into the free capacity. */
export const isFitting = (step: WorkflowStep, free: Capacity): boolean =>
	getReservedMilliCpu(step) <= free.milliCpu && step.memoryMb <= free.memoryMb && step.accelerators <= free.accelerators;
