/**
The owner's view of the workers of its service: what each has, what is taken, and whether it may be given more.
*/
import {type HealthSubject} from '../jobs/worker-health.ts';
import {type Capacity, type WorkerReport} from '../types/fleet.ts';
import {type WorkflowStep} from '../types/workflows.ts';
import {type PeerClock} from '../utils/peer-clock.ts';
import {type Paces} from './fill-harm.ts';
import {type LiveRun} from './live-model.ts';

/** One worker with its agent, as last heard. */
export type FleetWorker = {
	host: string;
	address: string;
	session: number;
	agentLife: string;
	/** Last state taken from the agent. */
	version: number;
	report: WorkerReport | undefined;
	isListed: boolean;
	/** Whether the worker answers its agent. */
	isAnswering: boolean;
	/** When the last answer was handled, and the worker's clock in it. */
	heardAtMs: number;
	workerClockMs: number;
	/** Steady clock of the agent's life. */
	agentClock: PeerClock;
	/** When the agent's silence began; undefined while it answers. */
	silentSinceMs?: number;
	/** When the store took the declaration that the agent is lost. */
	lostAtMs?: number;
	/** Registration that was declared lost. */
	lostSession?: number;
	runs: Set<LiveRun>;
	/** Whether the worker fails what it starts; held down and probed by what its runs come to. */
	health: HealthSubject;
	/** Ends up to this number were taken. */
	takenEnd: number;
	/** Ends up to this number are in the log. */
	storedEnd: number;
	/** A task has succeeded there since the last crash that this owner heard of. */
	isProven: boolean;
	/** Crashed runs up to this number of the agent's life were taken, and are in the log. */
	takenCrash: number;
	storedCrash: number;
	/** Nothing is placed before this; after refusals. */
	blockedUntilMs: number;
	/** When a run that no job has was last told to stop. */
	unknownStopAtMs: number;
	/** Speed that tasks that fill may work at, by image. */
	paces: Paces;
	/** Nothing may fill: a serving task has been over its target for too long. */
	isFillStopped: boolean;
	/** What each image that fills used of the processors, over the last second or so. */
	fillUses: Array<{atMs: number; used: Map<string, number>}>;
	/** When the harm of tasks that fill was last learned from. */
	harmNotedAtMs: number;
};

/** Processors that a step's tasks take of a worker's capacity: what fills takes none. */
export const getMilliCpu = (step: WorkflowStep): number => step.isFilling ? 0 : step.milliCpu;

/** Room that is free. */
export const getFreeRoom = (worker: FleetWorker): Capacity => {
	const free = {milliCpu: 0, memoryMb: 0, accelerators: 0};
	if (worker.report) {
		free.milliCpu = worker.report.milliCpu;
		free.memoryMb = worker.report.memoryMb;
		free.accelerators = worker.report.accelerators;
	}

	for (const {task: {step: {spec}}} of worker.runs) {
		free.milliCpu -= getMilliCpu(spec);
		free.memoryMb -= spec.memoryMb;
		free.accelerators -= spec.accelerators;
	}

	return free;
};

/** Rack label of a worker: the one of the form `r…-…`; labels also hold the worker's kind. */
export const getRack = (report: WorkerReport): string | undefined => report.labels.find(label => /^r\d*-/.test(label));

/** Whether a task of the step may ever run on the worker. */
export const isSuited = (step: WorkflowStep, report: WorkerReport): boolean =>
	(step.requiredLabel === undefined || report.labels.includes(step.requiredLabel))
	&& getMilliCpu(step) <= report.milliCpu && step.memoryMb <= report.memoryMb && step.accelerators <= report.accelerators;

/** Whether the task fits into the room. */
export const isFitting = (step: WorkflowStep, free: Capacity): boolean =>
	getMilliCpu(step) <= free.milliCpu && step.memoryMb <= free.memoryMb && step.accelerators <= free.accelerators;
