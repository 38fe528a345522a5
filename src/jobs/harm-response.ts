/**
What is done about harm to a running service: throttle the neighbour that causes it, then move that neighbour.

Each step is given time to show its effect in reports that come late, and has to pay for itself: noisy tasks come in
waves, and a response that follows each report would evict work that the next report exonerates.
*/
import {DecisionType, EvictionReason} from '../types/placement.ts';
import {TaskClass} from '../types/jobs.ts';
import {type Round} from './placement-round.ts';
import {
	isAvailable, TaskPhase, type TaskEntry, type WorkerEntry,
} from './placement-state.ts';

const leastShare = 0.25;
// A step must gain more than it costs by this factor.
const hysteresis = 1.5;
// What a move is expected to gain for at the most.
const horizonMs = 120_000;
const reactionsPerRound = 32;

/** Throttles or moves neighbours of harmed services, and lets throttled ones go again. */
export const runHarmPass = (round: Round): void => {
	const {harmed, settings} = round.context;
	let left = reactionsPerRound;
	for (const victim of harmed) {
		const {worker} = victim;
		if (!worker || victim.phase !== TaskPhase.Placed) {
			harmed.delete(victim);
			continue;
		}

		if (left > 0 && !round.isFull && worker.settledAtMs <= round.nowMs && relieve(round, worker)) {
			left--;
			worker.settledAtMs = round.nowMs + settings.harmSettleMs;
		}
	}

	throttleKnown(round);
	releaseThrottled(round);
};

const relieve = (round: Round, worker: WorkerEntry): boolean => {
	const {harmCost} = round.context;
	let neighbour: TaskEntry | undefined;
	let most = 0;
	for (const entry of worker.tasks) {
		if (entry.phase === TaskPhase.Placed && entry.job.spec.taskClass === TaskClass.Batch) {
			const contribution = harmCost.getContribution(worker, entry, 0);
			if (contribution > most) {
				neighbour = entry;
				most = contribution;
			}
		}
	}

	if (!neighbour) {
		return false;
	}

	if (neighbour.throttleShare > leastShare) {
		return isThrottlePaying(round, neighbour, most) && setShare(round, neighbour, neighbour.throttleShare / 2);
	}

	return isMovePaying(round, neighbour, most) && move(round, neighbour);
};

/** Halving the neighbour's share costs half of its throughput and gains half of its harm. */
const isThrottlePaying = ({context: {settings}}: Round, entry: TaskEntry, contribution: number): boolean =>
	contribution > settings.throughputWeight * entry.throttleShare * hysteresis;

/** Throttles new tasks that are known to harm: their reports would come when the harm is long done. */
const throttleKnown = (round: Round): void => {
	const {started, harmCost, queue} = round.context;
	for (const entry of started) {
		const {worker, phase, job} = entry;
		if (worker && phase === TaskPhase.Placed && !queue.isUrgent(job) && isThrottlePaying(round, entry, harmCost.getContribution(worker, entry, -1))) {
			setShare(round, entry, 1 / 2);
		}
	}

	started.length = 0;
};

const isMovePaying = (round: Round, entry: TaskEntry, contribution: number): boolean => {
	const {context, nowMs} = round;
	const {settings, queue, evictions, sizes} = context;
	const {spec, kindId} = entry.job;
	const isHeld = nowMs - evictions.getLastMs(entry.task.taskId) < settings.evictionHoldMs;
	if (isHeld || queue.isUrgent(entry.job)) {
		return false;
	}

	const elsewhere = getCostElsewhere(round, entry);
	const gainPerSecond = contribution + (settings.throughputWeight * (1 - entry.throttleShare)) - elsewhere;
	const remainingMs = sizes.getRemainingMs(kindId, spec.declaredRunTimeMs, nowMs - entry.startedAtMs);
	const gain = gainPerSecond * Math.min(horizonMs, remainingMs) / 1000;
	return gain > context.getEvictionCost(entry, nowMs) * hysteresis;
};

/** Least cost of harm at another worker with room; without one a move would only make the task wait. */
const getCostElsewhere = (round: Round, entry: TaskEntry): number => {
	const {search, harmCost} = round.context;
	let least = Number.POSITIVE_INFINITY;
	for (const worker of search.collect(entry, round.nowMs)) {
		if (worker !== entry.worker && isAvailable(worker)) {
			least = Math.min(least, harmCost.getAdded(worker, entry, entry.reserved.processors));
		}
	}

	return least;
};

const move = (round: Round, entry: TaskEntry): boolean => {
	if (!round.context.otherBudget.take(1, round.nowMs)) {
		return false;
	}

	round.evict(entry, EvictionReason.Harm);
	return true;
};

const setShare = (round: Round, entry: TaskEntry, share: number): boolean => {
	const {history, throttled} = round.context;
	const worker = entry.worker!;
	entry.throttleShare = share;
	entry.throttledAtMs = round.nowMs;
	worker.mix = undefined;
	history.begin(entry, round.nowMs);
	if (share < 1) {
		throttled.add(entry);
	} else {
		throttled.delete(entry);
	}

	round.decisions.push({
		type: DecisionType.Throttle, taskId: entry.task.taskId, workerId: worker.spec.workerId, share,
	});
	return true;
};

/** Lets a throttled task go when the services beside it are well and it is not expected to harm them as before. */
const releaseThrottled = (round: Round): void => {
	const {throttled, harmCost, settings} = round.context;
	const clear = 1 + ((settings.harmThreshold - 1) / 2);
	for (const entry of throttled) {
		const {worker} = entry;
		if (!worker || entry.phase !== TaskPhase.Placed) {
			throttled.delete(entry);
			continue;
		}

		if (round.isFull || round.nowMs - entry.throttledAtMs < 2 * settings.harmSettleMs) {
			continue;
		}

		const isWell = [...worker.tasks].every(other => other.job.spec.taskClass === TaskClass.Batch || other.slowdown < clear);
		const expected = harmCost.getContribution(worker, entry, 0) / entry.throttleShare;
		if (isWell && expected < settings.throughputWeight) {
			setShare(round, entry, 1);
		}
	}
};
