/**
Reactions to interference with running latency-critical tasks: throttles the neighbour that causes it, then evicts it.

After each step the pass waits until late reports can show its effect, and a step must gain more than it costs. Interference
comes in waves: a reaction to each report would evict tasks that the next report shows to be harmless.
*/
import {DecisionType, EvictionReason} from '../types/placement.ts';
import {TaskClass} from '../types/jobs.ts';
import {type PlacementCycle} from './placement-cycle.ts';
import {
	isAvailable, TaskPhase, type TaskEntry, type WorkerEntry,
} from './placement-state.ts';

const minThrottleShare = 0.25;
// The gain of a step must exceed its cost by this factor.
const minGainFactor = 1.5;
// Longest time for which the gain of an eviction is counted.
const maxGainPeriodMs = 120_000;
const maxReactionsPerCycle = 32;

/** Throttles or evicts neighbours of slowed latency-critical tasks, and restores throttled tasks to full speed. */
export const runInterferencePass = (cycle: PlacementCycle): void => {
	const {slowedTasks, settings} = cycle.context;
	let remaining = maxReactionsPerCycle;
	for (const victim of slowedTasks) {
		const {worker} = victim;
		if (!worker || victim.phase !== TaskPhase.Placed) {
			slowedTasks.delete(victim);
			continue;
		}

		if (remaining > 0 && !cycle.isFull && worker.nextReactionAtMs <= cycle.nowMs && mitigate(cycle, worker)) {
			remaining--;
			worker.nextReactionAtMs = cycle.nowMs + settings.harmSettleMs;
		}
	}

	throttleNewOffenders(cycle);
	restoreThrottled(cycle);
};

const mitigate = (cycle: PlacementCycle, worker: WorkerEntry): boolean => {
	const {interferenceCost} = cycle.context;
	let neighbour: TaskEntry | undefined;
	let maxContribution = 0;
	for (const entry of worker.tasks) {
		if (entry.phase === TaskPhase.Placed && entry.job.spec.taskClass === TaskClass.Batch) {
			const contribution = interferenceCost.getContribution(worker, entry, 0);
			if (contribution > maxContribution) {
				neighbour = entry;
				maxContribution = contribution;
			}
		}
	}

	if (!neighbour) {
		return false;
	}

	if (neighbour.throttleShare > minThrottleShare) {
		return isThrottleWorthwhile(cycle, neighbour, maxContribution) && setThrottleShare(cycle, neighbour, neighbour.throttleShare / 2);
	}

	return isEvictionWorthwhile(cycle, neighbour, maxContribution) && tryEvict(cycle, neighbour);
};

/** Halving the neighbour's share costs half of its throughput and removes half of its interference. */
const isThrottleWorthwhile = ({context: {settings}}: PlacementCycle, entry: TaskEntry, contribution: number): boolean =>
	contribution > settings.throughputWeight * entry.throttleShare * minGainFactor;

/** Throttles new tasks whose kind is known to interfere, as reports would arrive too late to prevent it. */
const throttleNewOffenders = (cycle: PlacementCycle): void => {
	const {startedBatchTasks, interferenceCost, queue} = cycle.context;
	for (const entry of startedBatchTasks) {
		const {worker, phase, job} = entry;
		if (worker && phase === TaskPhase.Placed && !queue.isUrgent(job) && isThrottleWorthwhile(cycle, entry, interferenceCost.getContribution(worker, entry, -1))) {
			setThrottleShare(cycle, entry, 1 / 2);
		}
	}

	startedBatchTasks.length = 0;
};

const isEvictionWorthwhile = (cycle: PlacementCycle, entry: TaskEntry, contribution: number): boolean => {
	const {context, nowMs} = cycle;
	const {settings, queue, evictionHistory, sizes} = context;
	const {spec, kindId} = entry.job;
	const wasEvictedRecently = nowMs - evictionHistory.getLastMs(entry.task.taskId) < settings.evictionHoldMs;
	if (wasEvictedRecently || queue.isUrgent(entry.job)) {
		return false;
	}

	const costElsewhere = getCostElsewhere(cycle, entry);
	const gainPerSecond = contribution + (settings.throughputWeight * (1 - entry.throttleShare)) - costElsewhere;
	const remainingMs = sizes.getRemainingMs(kindId, spec.declaredRunTimeMs, nowMs - entry.startedAtMs);
	const gain = gainPerSecond * Math.min(maxGainPeriodMs, remainingMs) / 1000;
	return gain > context.getEvictionCost(entry, nowMs) * minGainFactor;
};

/** Least cost of interference on another worker with enough capacity; infinite if there is none, as the task would have to wait. */
const getCostElsewhere = (cycle: PlacementCycle, entry: TaskEntry): number => {
	const {search, interferenceCost} = cycle.context;
	let least = Number.POSITIVE_INFINITY;
	for (const worker of search.collect(entry, cycle.nowMs)) {
		if (worker !== entry.worker && isAvailable(worker)) {
			least = Math.min(least, interferenceCost.getAddedCost(worker, entry, entry.reserved.processors));
		}
	}

	return least;
};

const tryEvict = (cycle: PlacementCycle, entry: TaskEntry): boolean => {
	if (!cycle.context.regularEvictionBudget.tryTake(1, cycle.nowMs)) {
		return false;
	}

	cycle.evict(entry, EvictionReason.Harm);
	return true;
};

const setThrottleShare = (cycle: PlacementCycle, entry: TaskEntry, share: number): boolean => {
	const {residencyHistory, throttledTasks} = cycle.context;
	const worker = entry.worker!;
	entry.throttleShare = share;
	entry.throttledAtMs = cycle.nowMs;
	worker.mix = undefined;
	residencyHistory.recordStart(entry, cycle.nowMs);
	if (share < 1) {
		throttledTasks.add(entry);
	} else {
		throttledTasks.delete(entry);
	}

	cycle.decisions.push({
		type: DecisionType.Throttle, taskId: entry.task.taskId, workerId: worker.spec.workerId, share,
	});
	return true;
};

/** Restores throttled tasks to full speed when the latency-critical tasks beside them run well and are expected to stay so. */
const restoreThrottled = (cycle: PlacementCycle): void => {
	const {throttledTasks, interferenceCost, settings} = cycle.context;
	const maxRestoreSlowdown = 1 + ((settings.harmThreshold - 1) / 2);
	for (const entry of throttledTasks) {
		const {worker} = entry;
		if (!worker || entry.phase !== TaskPhase.Placed) {
			throttledTasks.delete(entry);
			continue;
		}

		if (cycle.isFull || cycle.nowMs - entry.throttledAtMs < 2 * settings.harmSettleMs) {
			continue;
		}

		const areOthersWell = [...worker.tasks].every(other => other.job.spec.taskClass === TaskClass.Batch || other.slowdown < maxRestoreSlowdown);
		const expected = interferenceCost.getContribution(worker, entry, 0) / entry.throttleShare;
		if (areOthersWell && expected < settings.throughputWeight) {
			setThrottleShare(cycle, entry, 1);
		}
	}
};
