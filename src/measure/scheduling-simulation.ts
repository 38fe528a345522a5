/**
Simulates a load on manual time with the real owner and agents on stand-in workers, and measures what callers get.
*/
import {createHash} from 'node:crypto';
import {Agent} from '../agents/agent.ts';
import {createError, ErrorCode} from '../core/errors.ts';
import {Feature, type Features} from '../core/site-features.ts';
import {RegistrationReader} from '../agents/registration-reader.ts';
import {leaseDurationMs} from '../agents/worker-lease.ts';
import {MemoryStore, StoreFault} from '../standin/memory-store.ts';
import {InterferenceWorker} from '../standin/interference-worker.ts';
import {type Random} from '../types/random.ts';
import {parseTaskId, RunEnd} from '../types/workflows.ts';
import {ManualClock} from '../utils/manual-clock.ts';
import {createRandom} from '../utils/seeded-random.ts';
import {type AgentClient} from '../workflows/agent-links.ts';
import {WorkflowFollower} from '../workflows/follower.ts';
import {QueueHomes} from '../workflows/queue-homes.ts';
import {Owner} from '../workflows/owner.ts';
import {type Policy} from '../workflows/policy.ts';
import {
	encodeRecord, RecordType, workflowsTopic, type InterferencePair,
} from '../workflows/records.ts';
import {WorkflowApi} from '../workflows/workflow-api.ts';
import {describeCapacity} from './simulated-capacity.ts';
import {getFailureDomain, updateEvacuation, type SimulatedEvacuation} from './simulated-evacuation.ts';
import {
	generateJobs, getWorkerSpeed, type SchedulingLoad, type JobKind, type GeneratedJob,
} from './scheduling-load.ts';
import {JobOutcome} from './job-outcome.ts';
import {submitJob} from './simulated-callers.ts';
import {
	countUnfinishedJobs, creditCompletedJobs, creditWindow, windowMs, type CreditedSimulation, type SchedulingResult,
} from './scheduling-credit.ts';
import {type CapacityInput} from './capacity-oracle.ts';
import {HostOutages, OutageKind} from './host-outages.ts';

/** Options of one simulation. */
export type SimulationOptions = {
	policy: Policy;
	features: Features;
	/** The owner starts with the true interference of all pairs of images. This shows how much better learning could gain. */
	isInterferenceKnown?: boolean;
	evacuation?: SimulatedEvacuation;
	note?: (event: string, fields: Record<string, unknown>) => void;
	/** Called once a second with what the workers could hold, and what the owner has stored of the interference. */
	onSecond?: (moment: CapacityInput & {atS: number; filledCores: number; learned: InterferencePair[]}) => void;
};

const stepMs = 50;
const partition = 0;
const ref = {topic: workflowsTopic, partition};
const settleMs = 4000;
const drainS = 14;
const outageMs = 1000;
const unansweredMs = 500;
const checkpointEveryMs = 1000;
const restoreMs = 100;
const secondMs = 1000;
/** Interference records hold the load added by a tenth of a worker. */
const interferenceUnits = 10;
const knownDeviation = 0.01;

type Simulation = CreditedSimulation & {
	clock: ManualClock;
	store: MemoryStore;
	workers: Map<string, InterferenceWorker>;
	agents: Map<string, {agent: Agent; aborter: AbortController}>;
	result: SchedulingResult;
	outages: HostOutages;
	/** Hosts whose agents were stopped by a loss of power. */
	powerless: Set<string>;
	policy: Policy;
	features: Features;
	evacuations: ReturnType<typeof updateEvacuation>;
	/** Load that a best-effort image with a whole worker adds to a latency-critical image. */
	getEffect: (latencyCriticalImage: string, bestEffortImage: string) => number;
	/** Load of a latency-critical task without interference. */
	getLoad: (taskId: string, nowMs: number) => number;
};

/** Simulates the load once. */
export const simulateScheduling = async (load: SchedulingLoad, seed: number, {policy, features, isInterferenceKnown = false, evacuation, note = () => undefined, onSecond}: SimulationOptions): Promise<SchedulingResult> => {
	const random = createRandom(seed);
	const generatedJobs = generateJobs(load, random);
	const simulation = createSimulation(load, random, {policy, features});
	for (const host of simulation.workers.keys()) {
		startAgent(simulation, host);
	}

	if (isInterferenceKnown) {
		await writeInterference(simulation, load);
	}

	let entry = startEntry(simulation, 1, note);
	await advance(simulation, settleMs);
	const startMs = simulation.clock.monotonicMs();
	const waitingJobs = generatedJobs.map(job => ({...job, atMs: job.atMs + startMs, cancelAtMs: job.cancelAtMs + startMs}));
	const endMs = startMs + ((load.lengthS + drainS) * secondMs);
	const latencyCriticalJobs: GeneratedJob[] = [];
	let outageAtMs = load.outageAtS === undefined ? Number.POSITIVE_INFINITY : startMs + (load.outageAtS * secondMs);
	const takeoversAtMs = (load.takeoversAtS ?? []).map(atS => startMs + (atS * secondMs));
	let windowEndMs = startMs + windowMs;
	let busyMs = 0;
	let bestEffortCoreMs = 0;
	while (simulation.clock.monotonicMs() < endMs) {
		const nowMs = simulation.clock.monotonicMs();
		while (waitingJobs.length > 0 && waitingJobs[0]!.atMs <= nowMs) {
			const job = waitingJobs.shift()!;
			simulation.jobs.set(job.id, job);
			submitJob(entry.api, job, simulation);
			if (job.kind.latencyCritical) {
				latencyCriticalJobs.push(job);
			}
		}

		for (const job of latencyCriticalJobs) {
			if (job.cancelAtMs <= nowMs && job.cancelAtMs > nowMs - stepMs) {
				await write(simulation, {type: RecordType.Cancel, id: job.id});
			}
		}

		if (nowMs >= outageAtMs) {
			outageAtMs = Number.POSITIVE_INFINITY;
			entry = await simulateOutage(simulation, entry, note);
		}

		simulation.evacuations = updateEvacuation(simulation, evacuation, nowMs - startMs);
		if (nowMs >= (takeoversAtMs[0] ?? Number.POSITIVE_INFINITY)) {
			takeoversAtMs.shift();
			entry.stop();
			entry = startEntry(simulation, entry.epoch + 1, note);
		}

		applyPowerLosses(simulation);
		await advance(simulation, stepMs);
		if (entry.follower.fold.workflows.size > 0) {
			busyMs += stepMs;
			bestEffortCoreMs += stepMs * getBestEffortCores(simulation);
		}

		if (simulation.clock.monotonicMs() >= windowEndMs) {
			windowEndMs += windowMs;
			creditWindow(simulation, latencyCriticalJobs, windowEndMs - (2 * windowMs), endMs - (drainS * secondMs));
		}

		creditCompletedJobs(simulation, entry.follower);
		const passedMs = simulation.clock.monotonicMs() - startMs;
		if (onSecond && passedMs % secondMs === 0) {
			onSecond({
				...describeCapacity({...simulation, workers: getReachableWorkers(simulation)}, entry.owner.model), atS: passedMs / secondMs, filledCores: getBestEffortCores(simulation), learned: entry.follower.fold.interferencePairs,
			});
		}
	}

	entry.stop();
	for (const {aborter} of simulation.agents.values()) {
		aborter.abort();
	}

	countUnfinishedJobs(simulation);
	const {result} = simulation;
	result.refusedJobs = new Map([...result.refusedJobs.keys()].map(id => [id, result.completedJobs.get(id) ?? JobOutcome.Open]));
	result.bestEffortCores = bestEffortCoreMs / Math.max(1, busyMs);
	return result;
};

const createSimulation = (load: SchedulingLoad, random: Random, {policy, features}: Pick<SimulationOptions, 'policy' | 'features'>): Simulation => {
	const clock = new ManualClock();
	const salt = random.below(1e6);
	const {harmlessShare = 0} = load;
	const getEffect = (latencyCriticalImage: string, bestEffortImage: string) => getChance(`${salt} ${bestEffortImage}`) < harmlessShare
		? 0
		: load.addedLoads[Math.floor(getChance(`${salt} ${latencyCriticalImage} ${bestEffortImage}`) * load.addedLoads.length)]!;
	const getJob = (taskId: string) => simulation.jobs.get(parseTaskId(taskId)!.workflowId)!;
	const getLoad = (taskId: string, nowMs: number) => {
		const {loadPhase, kind: {latencyCritical}} = getJob(taskId);
		return latencyCritical!.load * (1 + (latencyCritical!.loadAmplitude * Math.sin(2 * Math.PI * ((nowMs / (latencyCritical!.periodS * secondMs)) + loadPhase))));
	};

	const simulation: Simulation = {
		clock, store: new MemoryStore(clock, 1), jobs: new Map(), workers: new Map(), agents: new Map(), policy, features, evacuations: {asOf: 0, failureDomains: []}, getEffect, getLoad, served: new Map(), creditedJobIds: new Set(), powerless: new Set(), outages: new HostOutages(load.outages ?? [], {hosts: load.workers.map((_, index) => getHost(index)), startMs: clock.monotonicMs() + settleMs, random}), result: {
			credit: new Map(), lostCoreS: 0, interferenceS: 0, counts: new Map(), bestEffortCores: 0, refusals: 0, refusedJobs: new Map(), completedJobs: new Map(), copies: {started: 0, won: 0},
		},
	};
	simulation.store.getFault = ({client}) => isCutOff(simulation, client) ? StoreFault.LoseRequest : StoreFault.None;
	const interference = {
		baseLatencyMs: load.baseLatencyMs,
		getLoad,
		getAddedLoad: getEffect,
	};
	for (const [index, milliCpu] of load.workers.entries()) {
		const host = getHost(index);
		simulation.workers.set(host, new InterferenceWorker(host, {
			clock,
			interference,
			checkpointIntervalMs: checkpointEveryMs,
			restoreMs,
			maxLeaseMs: 10_000,
			report: {
				service: 'desk', failureDomain: getFailureDomain(index), milliCpu, memoryMb: milliCpu * 4, accelerators: 0, labels: ['a', `r1-${Math.floor(index / 3)}`],
			},
			getSimulatedTask(taskId, run) {
				const {step, index: taskIndex} = parseTaskId(taskId)!;
				const job = getJob(taskId);
				const luck = getChance(`${salt} ${taskId} ${run}`);
				const {errorShare} = job.kind;
				return {
					spec: job.spec.steps[step]!,
					workMs: job.kind.latencyCritical ? undefined : job.workMs[step]![taskIndex]!,
					failsAt: luck < errorShare ? luck / errorShare : undefined,
				};
			},
			getSpeed: nowMs => getWorkerSpeed(load, index, nowMs - settleMs),
			onStart(taskId) {
				simulation.result.copies.started += [...simulation.workers.values()].filter(({runs}) => runs.has(taskId)).length > 1 ? 1 : 0;
			},
			onEnd(taskId, end, lostMs, run) {
				simulation.result.copies.won += end === RunEnd.Done && [...simulation.workers.values()].some(({runs}) => (runs.get(taskId)?.start.run ?? run) < run) ? 1 : 0;
				if (end !== RunEnd.Failed) {
					simulation.result.lostCoreS += lostMs * getJob(taskId).spec.steps[parseTaskId(taskId)!.step]!.milliCpu / 1e6;
				}
			},
			onLatencySample(taskId, {isServing, isOverTarget, meetsTargetAlone}, elapsedMs) {
				const {workflowId} = parseTaskId(taskId)!;
				const served = simulation.served.get(workflowId) ?? {withinTargetMs: 0, interferenceMs: 0};
				simulation.served.set(workflowId, served);
				served.withinTargetMs += isServing && !isOverTarget ? elapsedMs : 0;
				served.interferenceMs += isServing && isOverTarget && meetsTargetAlone ? elapsedMs : 0;
			},
		}));
	}

	return simulation;
};

const getHost = (index: number): string => `host-${String(index).padStart(2, '0')}`;

const isCutOff = ({outages, clock}: Simulation, host: string): boolean => outages.isAffected(OutageKind.CutOff, host, clock.monotonicMs());

/** Stops the hosts that lose power now, and starts those that get it back. */
const applyPowerLosses = (simulation: Simulation): void => {
	const {outages, powerless, clock, workers, agents} = simulation;
	for (const [host, worker] of workers) {
		const isOff = outages.isAffected(OutageKind.PowerLoss, host, clock.monotonicMs());
		if (isOff && !powerless.has(host)) {
			powerless.add(host);
			agents.get(host)!.aborter.abort();
			worker.crash();
		} else if (!isOff && powerless.delete(host)) {
			startAgent(simulation, host);
		}
	}
};

/** A number from 0 to 1 that depends on the text alone, so that the outcome of a run does not depend on earlier decisions. */
const getChance = (text: string): number => createHash('md5').update(text).digest().readUInt32BE(0) / (2 ** 32);

const advance = async (simulation: Simulation, durationMs: number): Promise<void> => {
	for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
		await simulation.clock.advance(stepMs);
		for (const worker of simulation.workers.values()) {
			worker.advance(stepMs);
		}
	}
};

const startAgent = (simulation: Simulation, host: string): void => {
	const aborter = new AbortController();
	const worker = simulation.workers.get(host)!;
	const agent = new Agent({
		registration: {
			host, address: host, service: 'desk', failureDomain: 'hall',
		},
		partition,
		store: simulation.store.createClient(host),
		client: worker.createClient(),
		clock: simulation.clock,
		life: `${host}-${simulation.clock.monotonicMs()}`,
		leaseDurationMs,
		maxLeaseMs: 10_000,
		note: () => undefined,
	});
	simulation.agents.set(host, {agent, aborter});
	void agent.run(aborter.signal);
	const announce = () => {
		if (!aborter.signal.aborted) {
			agent.handleAnnouncement(worker.announce());
			simulation.clock.setTimer(announce, secondMs);
		}
	};

	announce();
};

type EntryParts = {follower: WorkflowFollower; owner: Owner; api: WorkflowApi; epoch: number; stop: () => void};

const startEntry = (simulation: Simulation, epoch: number, note: (event: string, fields: Record<string, unknown>) => void): EntryParts => {
	const {clock, policy, features} = simulation;
	const store = simulation.store.createClient('entry');
	const aborter = new AbortController();
	const follower = new WorkflowFollower({
		store, clock, ref, onStoreState: () => undefined, onInvalid: () => undefined,
	});
	void follower.run(aborter.signal);
	const isReachable = (host: string) => !isCutOff(simulation, host) && !simulation.powerless.has(host);
	const call = async <Reply>(host: string, act: (agent: Agent) => Promise<Reply>): Promise<Reply> => {
		await clock.sleep(1);
		const {agent, aborter: {signal}} = simulation.agents.get(host)!;
		const reply = isReachable(host) && !signal.aborted ? structuredClone(await act(agent)) : undefined;
		if (reply === undefined || !isReachable(host)) {
			await clock.sleep(unansweredMs);
			throw createError(ErrorCode.PeerUnreached, {step: 'call agent', peer: host});
		}

		return reply;
	};

	const client: AgentClient = {
		watch: async (host, request, _, signal) => call(host, async agent => agent.watch(structuredClone(request), signal)),
		order: async (host, request) => call(host, async agent => agent.order(structuredClone(request))),
	};
	const owner = new Owner({
		store, clock, client, adviceClient: undefined, follower, partition, partitions: 1, getFollower: () => follower, host: 'entry', epoch, leaseDurationMs, gangTimeoutMs: 3000, cancelMs: 3000, getEvacuations: () => simulation.evacuations, getHeartbeatAtMs: () => Number.NEGATIVE_INFINITY, maxCallBytes: 2_000_000, retentionMs: 300_000, getHome: () => undefined, reader: new RegistrationReader({maxLeaseMs: leaseDurationMs, isAddress: () => true, note}),
		isOwned: () => true, policy, features, onSuperseded: () => undefined, onGap: () => undefined, note,
	});
	const run = async () => {
		await follower.catchUp(secondMs);
		await owner.run();
	};

	void run();
	const {next} = createRandom(epoch);
	const api = new WorkflowApi({
		store, clock, partitions: 1, homes: new QueueHomes({
			store, clock, onHome: () => undefined, note,
		}), producer: `entry-${epoch}`, maxCallBytes: 2_000_000, getConfig: () => undefined, getFollower: () => follower, isStoreLost: () => false, onWriterEvent: () => undefined, note, admission: features[Feature.Admission] ? {refusesLate: features[Feature.LateRefusals], random: {next}, note} : undefined,
	});
	return {
		follower, owner, api, epoch, stop() {
			aborter.abort();
			owner.stop();
		},
	};
};

/** Stops the owner, the agents and the workers at once, so that active runs are lost, and starts all of them again. */
const simulateOutage = async (simulation: Simulation, entry: EntryParts, note: (event: string, fields: Record<string, unknown>) => void): Promise<EntryParts> => {
	entry.stop();
	for (const [host, {aborter}] of simulation.agents) {
		aborter.abort();
		simulation.workers.get(host)!.crash();
	}

	await advance(simulation, outageMs);
	for (const host of simulation.workers.keys()) {
		startAgent(simulation, host);
	}

	return startEntry(simulation, entry.epoch + 1, note);
};

const write = async ({store}: Simulation, record: Parameters<typeof encodeRecord>[0]): Promise<void> => {
	void store.createClient('callers').append(ref, [encodeRecord(record)], {timeoutMs: secondMs});
};

/** Writes the true interference of all pairs, as if an earlier owner had learned it. */
const writeInterference = async (simulation: Simulation, {kinds}: SchedulingLoad): Promise<void> => {
	const getImages = (isIncluded: (kind: JobKind) => boolean) => kinds.filter(kind => isIncluded(kind)).flatMap(({name, images}) => Array.from({length: images}, (_, index) => `${name}-${index}`));
	const latencyCriticalImages = getImages(({latencyCritical}) => latencyCritical !== undefined);
	const bestEffortImages = getImages(({isBestEffort}) => isBestEffort);
	await write(simulation, {
		type: RecordType.Interference, pairs: latencyCriticalImages.flatMap(latencyCriticalImage => bestEffortImages.map(bestEffortImage => ({
			server: latencyCriticalImage,
			filler: bestEffortImage,
			mean: simulation.getEffect(latencyCriticalImage, bestEffortImage) / interferenceUnits,
			deviation: knownDeviation,
		}))),
	});
};

const getReachableWorkers = (simulation: Simulation): InterferenceWorker[] =>
	[...simulation.workers].filter(([host]) => !simulation.powerless.has(host) && !isCutOff(simulation, host)).map(([, worker]) => worker);

const getBestEffortCores = ({workers}: Simulation): number => {
	let cores = 0;
	for (const worker of workers.values()) {
		for (const {task: {spec}, recent} of worker.runs.values()) {
			cores += spec.isFilling ? recent / 1000 : 0;
		}
	}

	return cores;
};
