/**
Workers that are slow for a while after their start: how long they still are, what that costs a task that starts there, and how much they may take.
Answers a site or a failure domain that has just come back and gets short work as if it were warm.
*/
import {Feature, type Features} from '../core/site-features.ts';
import {type Capacity} from '../types/fleet.ts';
import {type WorkflowStep} from '../types/workflows.ts';
import {getReservedMilliCpu, type FleetWorker} from './fleet-view.ts';

/** Share of what a worker had free as it turned cold that new tasks may take. */
const coldShare = 0.5;
/** Below the cost of remote data, which multiplies run times for good, and below that of a worker on which the task failed. */
const coldCost = 9;

/** Updates all workers of an owner, given also those that may get new tasks. */
export type ColdWorkerUpdate = (all: Iterable<FleetWorker>, schedulable: FleetWorker[], nowMs: number) => FleetWorker[];

/** Creates a function that updates what is cold, and returns the schedulable workers. While all of these are cold, none is limited: there is nowhere else to go. */
export const createColdWorkerUpdate = ({features, note}: {features: Features; note: (event: string, fields: Record<string, unknown>) => void}): ColdWorkerUpdate => (all, schedulable, nowMs) => {
	if (!features[Feature.ColdWorkers]) {
		return schedulable;
	}

	for (const worker of all) {
		const wasCold = isCold(worker);
		worker.warmupRemainingMs = getWarmupRemainingMs(worker, nowMs);
		worker.openShare = 1;
		if (isCold(worker) && !wasCold) {
			worker.coldSinceMs = nowMs;
			note('worker cold', {host: worker.host, workerId: worker.report?.workerId, warmupRemainingMs: Math.round(worker.warmupRemainingMs)});
		}
	}

	const cold = schedulable.filter(worker => isCold(worker));
	for (const worker of cold.length < schedulable.length ? cold : []) {
		worker.openShare = coldShare;
	}

	return schedulable;
};

/** Counts the announced time down from when the announcement was first seen. */
const getWarmupRemainingMs = ({report, reportedAtMs}: FleetWorker, nowMs: number): number =>
	Math.max(0, (report?.warmupRemainingMs ?? 0) - (nowMs - (reportedAtMs ?? nowMs)));

/** Whether the worker is slow, as of the last cycle. */
export const isCold = ({warmupRemainingMs}: FleetWorker): boolean => (warmupRemainingMs ?? 0) > 0;

/** What new tasks may take of a worker. */
export type OpenCapacity = {
	freeCapacity: Capacity;
	/** Processors that are not free any more once a task is assigned: the first task may need more than the open share, and no warm worker may be as large. */
	heldBackMilliCpu: number;
};

/** Limits what active runs leave free to what new tasks may take; what runs from before the worker turned cold use is not counted against them. */
export const limitFreeCapacity = ({openShare, coldSinceMs, runs}: FleetWorker, free: Capacity): OpenCapacity => {
	if (openShare === undefined || openShare === 1) {
		return {freeCapacity: free, heldBackMilliCpu: 0};
	}

	let newMilliCpu = 0;
	for (const {orderedAtMs, task: {step: {spec}}} of runs) {
		newMilliCpu += orderedAtMs >= coldSinceMs! ? getReservedMilliCpu(spec) : 0;
	}

	const heldBackMilliCpu = (1 - openShare) * (free.milliCpu + newMilliCpu);
	return newMilliCpu === 0
		? {freeCapacity: free, heldBackMilliCpu}
		: {freeCapacity: {...free, milliCpu: free.milliCpu - heldBackMilliCpu}, heldBackMilliCpu: 0};
};

/** Placement cost of a start on the worker: in full for tasks that would be slow all the time, or that serve users from the start. */
export const getColdCost = (worker: FleetWorker, {targetMs, estimateMs}: WorkflowStep): number =>
	isCold(worker) ? coldCost * (targetMs > 0 ? 1 : Math.min(1, worker.warmupRemainingMs! / Math.max(1, estimateMs))) : 0;
