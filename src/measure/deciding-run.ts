/**
Plays a load against the owner and the agents as they are, on manual time, and counts what callers get.
*/
import {createHash} from 'node:crypto';
import {Agent} from '../agents/agent.ts';
import {leaseDurationMs} from '../agents/worker-lease.ts';
import {MemoryStore} from '../standin/memory-store.ts';
import {SharedWorker} from '../standin/shared-worker.ts';
import {type Random} from '../types/random.ts';
import {parseTaskId, RunEnd, WorkflowState} from '../types/workflows.ts';
import {ManualClock} from '../utils/manual-clock.ts';
import {createRandom} from '../utils/seeded-random.ts';
import {type AgentClient} from '../workflows/agent-links.ts';
import {WorkflowFollower} from '../workflows/follower.ts';
import {Owner} from '../workflows/owner.ts';
import {type Policy} from '../workflows/policy.ts';
import {encodeRecord, RecordType, workflowsTopic} from '../workflows/records.ts';
import {
	offerJobs, type DecidingLoad, type JobKind, type OfferedJob,
} from './deciding-load.ts';

/** What callers got. */
export type DecidingResult = {
	/** Credit by kind, of what was owed. */
	credit: Map<string, {earned: number; owed: number}>;
	/** Core-seconds of work that was done and lost. */
	lostCoreS: number;
	/** Seconds of serving tasks over their target by what fills beside them. */
	harmS: number;
	/** Jobs of each kind that were in time, late, and not done. */
	counts: Map<string, {inTime: number; late: number; open: number}>;
	/** Mean of processors in use by what fills, while jobs were open. */
	fillingCores: number;
};

/** How a load is played. */
export type DecidingOptions = {
	policy: Policy;
	/** The owner begins with the true harm of all pairs: what there is to gain by learning better. */
	isHarmKnown?: boolean;
	note?: (event: string, fields: Record<string, unknown>) => void;
};

const stepMs = 50;
const partition = 0;
const ref = {topic: workflowsTopic, partition};
const settleMs = 4000;
const tailS = 14;
const darkMs = 1000;
const windowMs = 2000;
const lateShare = 0.15;
const lateTimes = 3;
const harmTimes = 4;
const checkpointEveryMs = 1000;
const restoreMs = 100;
const secondMs = 1000;
/** Effects are handed on for a tenth of a worker. */
const tenths = 10;
const knownDeviation = 0.01;

type World = {
	clock: ManualClock;
	store: MemoryStore;
	jobs: Map<string, OfferedJob>;
	workers: Map<string, SharedWorker>;
	agents: Map<string, {agent: Agent; aborter: AbortController}>;
	result: DecidingResult;
	policy: Policy;
	/** Load that a whole worker of the filling image adds to the serving one's. */
	getEffect: (server: string, filler: string) => number;
	/** Time that tasks of serving jobs were well at work, and were harmed, by job, in the present window. */
	served: Map<string, {goodMs: number; harmMs: number}>;
	/** Jobs that were seen to be completed. */
	ended: Set<string>;
};

/** Plays the load once. */
export const playDeciding = async (load: DecidingLoad, seed: number, {policy, isHarmKnown = false, note = () => undefined}: DecidingOptions): Promise<DecidingResult> => {
	const random = createRandom(seed);
	const offered = offerJobs(load, random);
	const world = createWorld(load, random, policy);
	for (const host of world.workers.keys()) {
		startAgent(world, host);
	}

	if (isHarmKnown) {
		await writeHarm(world, load);
	}

	let entry = startEntry(world, 1, note);
	await advance(world, settleMs);
	const startMs = world.clock.monotonicMs();
	const waiting = offered.map(job => ({...job, atMs: job.atMs + startMs, cancelAtMs: job.cancelAtMs + startMs}));
	const endMs = startMs + ((load.lengthS + tailS) * secondMs);
	const serving: OfferedJob[] = [];
	let darkAtMs = load.darkAtS === undefined ? Number.POSITIVE_INFINITY : startMs + (load.darkAtS * secondMs);
	let windowEndsMs = startMs + windowMs;
	let busyMs = 0;
	let fillingMs = 0;
	while (world.clock.monotonicMs() < endMs) {
		const nowMs = world.clock.monotonicMs();
		while (waiting.length > 0 && waiting[0]!.atMs <= nowMs) {
			const job = waiting.shift()!;
			world.jobs.set(job.id, job);
			await submit(world, job);
			if (job.kind.serving) {
				serving.push(job);
			}
		}

		for (const job of serving) {
			if (job.cancelAtMs <= nowMs && job.cancelAtMs > nowMs - stepMs) {
				await write(world, {type: RecordType.Cancel, id: job.id});
			}
		}

		if (nowMs >= darkAtMs) {
			darkAtMs = Number.POSITIVE_INFINITY;
			entry = await goDark(world, entry, note);
		}

		await advance(world, stepMs);
		if (entry.follower.fold.workflows.size > 0) {
			busyMs += stepMs;
			fillingMs += stepMs * getFillingCores(world);
		}

		if (world.clock.monotonicMs() >= windowEndsMs) {
			windowEndsMs += windowMs;
			countWindow(world, serving, windowEndsMs - (2 * windowMs), endMs - (tailS * secondMs));
		}

		takeEnds(world, entry.follower);
	}

	entry.stop();
	for (const {aborter} of world.agents.values()) {
		aborter.abort();
	}

	countOpen(world);
	world.result.fillingCores = fillingMs / Math.max(1, busyMs);
	return world.result;
};

const createWorld = (load: DecidingLoad, random: Random, policy: Policy): World => {
	const clock = new ManualClock();
	const salt = random.below(1e6);
	const getEffect = (server: string, filler: string) =>
		load.effects[Math.floor(getChance(`${salt} ${server} ${filler}`) * load.effects.length)]!;
	const world: World = {
		clock, store: new MemoryStore(clock, 1), jobs: new Map(), workers: new Map(), agents: new Map(), policy, getEffect, served: new Map(), ended: new Set(), result: {
			credit: new Map(), lostCoreS: 0, harmS: 0, counts: new Map(), fillingCores: 0,
		},
	};
	const getJob = (taskId: string) => world.jobs.get(parseTaskId(taskId)!.workflowId)!;
	const harm = {
		restMs: load.restMs,
		getLoad(taskId: string, nowMs: number) {
			const {phase, kind: {serving}} = getJob(taskId);
			return serving!.load * (1 + (serving!.swing * Math.sin(2 * Math.PI * ((nowMs / (serving!.periodS * secondMs)) + phase))));
		},
		getEffect,
	};
	for (const [index, milliCpu] of load.workers.entries()) {
		const host = `host-${String(index).padStart(2, '0')}`;
		world.workers.set(host, new SharedWorker(host, {
			clock,
			harm,
			checkpointEveryMs,
			restoreMs,
			maxLeaseMs: 10_000,
			report: {
				service: 'desk', failureDomain: 'hall', milliCpu, memoryMb: milliCpu * 4, accelerators: 0, labels: ['a', `r1-${Math.floor(index / 3)}`],
			},
			getTruth(taskId, run) {
				const {step, index: taskIndex} = parseTaskId(taskId)!;
				const job = getJob(taskId);
				const luck = getChance(`${salt} ${taskId} ${run}`);
				const {errorShare} = job.kind;
				return {
					spec: job.spec.steps[step]!,
					workMs: job.kind.serving ? undefined : job.workMs[step]![taskIndex]!,
					failsAt: luck < errorShare ? luck / errorShare : undefined,
				};
			},
			onStart: () => undefined,
			onEnd(taskId, end, lostMs) {
				if (end !== RunEnd.Failed) {
					world.result.lostCoreS += lostMs * getJob(taskId).spec.steps[parseTaskId(taskId)!.step]!.milliCpu / 1e6;
				}
			},
			onServed(taskId, {isAtWork, isOver, isDisturbed}, elapsedMs) {
				const {workflowId} = parseTaskId(taskId)!;
				const served = world.served.get(workflowId) ?? {goodMs: 0, harmMs: 0};
				world.served.set(workflowId, served);
				served.goodMs += isAtWork && !isOver ? elapsedMs : 0;
				served.harmMs += isAtWork && isOver && isDisturbed ? elapsedMs : 0;
			},
		}));
	}

	return world;
};

/** A number from 0 to 1 that depends on the text alone: what happens to a run does not depend on what was decided before. */
const getChance = (text: string): number => createHash('md5').update(text).digest().readUInt32BE(0) / (2 ** 32);

const advance = async (world: World, durationMs: number): Promise<void> => {
	for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
		await world.clock.advance(stepMs);
		for (const worker of world.workers.values()) {
			worker.advance(stepMs);
		}
	}
};

const startAgent = (world: World, host: string): void => {
	const aborter = new AbortController();
	const worker = world.workers.get(host)!;
	const agent = new Agent({
		registration: {
			host, address: host, service: 'desk', failureDomain: 'hall',
		},
		partition,
		store: world.store.createClient(host),
		client: worker.createClient(),
		clock: world.clock,
		life: `${host}-${world.clock.monotonicMs()}`,
		leaseDurationMs,
		maxLeaseMs: 10_000,
		note: () => undefined,
	});
	world.agents.set(host, {agent, aborter});
	void agent.run(aborter.signal);
	const announce = () => {
		if (!aborter.signal.aborted) {
			agent.handleAnnouncement(worker.announce());
			world.clock.setTimer(announce, secondMs);
		}
	};

	announce();
};

type EntryParts = {follower: WorkflowFollower; epoch: number; stop: () => void};

const startEntry = (world: World, epoch: number, note: (event: string, fields: Record<string, unknown>) => void): EntryParts => {
	const {clock, policy} = world;
	const store = world.store.createClient('entry');
	const aborter = new AbortController();
	const follower = new WorkflowFollower({
		store, clock, ref, onStoreState: () => undefined, onInvalid: () => undefined,
	});
	void follower.run(aborter.signal);
	const call = async <Reply>(host: string, act: (agent: Agent) => Promise<Reply>): Promise<Reply> => {
		await clock.sleep(1);
		return structuredClone(await act(world.agents.get(host)!.agent));
	};

	const client: AgentClient = {
		watch: async (host, request, _, signal) => call(host, async agent => agent.watch(structuredClone(request), signal)),
		order: async (host, request) => call(host, async agent => agent.order(structuredClone(request))),
	};
	const owner = new Owner({
		store, clock, client, adviceClient: undefined, follower, partition, host: 'entry', epoch, leaseDurationMs, cancelMs: 3000, getEvacuations: () => ({asOf: 0, failureDomains: []}), getHeartbeatAtMs: () => Number.NEGATIVE_INFINITY, maxCallBytes: 2_000_000, retentionMs: 300_000, isOwned: () => true, policy, onSuperseded: () => undefined, note,
	});
	const run = async () => {
		await follower.catchUp(secondMs);
		await owner.run();
	};

	void run();
	return {
		follower, epoch, stop() {
			aborter.abort();
			owner.stop();
		},
	};
};

/** Everything stops at once: what runs is lost, and all processes begin anew. */
const goDark = async (world: World, entry: EntryParts, note: (event: string, fields: Record<string, unknown>) => void): Promise<EntryParts> => {
	entry.stop();
	for (const [host, {aborter}] of world.agents) {
		aborter.abort();
		world.workers.get(host)!.crash();
	}

	await advance(world, darkMs);
	for (const host of world.workers.keys()) {
		startAgent(world, host);
	}

	return startEntry(world, entry.epoch + 1, note);
};

const write = async ({store}: World, record: Parameters<typeof encodeRecord>[0]): Promise<void> => {
	void store.createClient('callers').append(ref, [encodeRecord(record)], {timeoutMs: secondMs});
};

/** Writes the harm of all pairs as an owner before would have learned it. */
const writeHarm = async (world: World, {kinds}: DecidingLoad): Promise<void> => {
	const getImages = (isMeant: (kind: JobKind) => boolean) => kinds.filter(kind => isMeant(kind)).flatMap(({name, images}) => Array.from({length: images}, (_, index) => `${name}-${index}`));
	const servers = getImages(({serving}) => serving !== undefined);
	const fillers = getImages(({isFilling}) => isFilling);
	await write(world, {
		type: RecordType.Interference, pairs: servers.flatMap(server => fillers.map(filler => ({
			server, filler, mean: world.getEffect(server, filler) / tenths, deviation: knownDeviation,
		}))),
	});
};

const submit = async (world: World, {id, kind, spec}: OfferedJob): Promise<void> => write(world, {
	type: RecordType.Submit, workflow: {
		...spec, id, queue: kind.name, service: 'desk', priority: kind.priority, maxAttempts: kind.maxAttempts, stretch: kind.stretch, targetLatencyMs: kind.targetLatencyMs, needsAdvice: false, receivedAtMs: world.clock.now().getTime(),
	},
});

const getFillingCores = ({workers}: World): number => {
	let cores = 0;
	for (const worker of workers.values()) {
		for (const {truth: {spec}, recent} of worker.runs.values()) {
			cores += spec.isFilling ? recent / 1000 : 0;
		}
	}

	return cores;
};

const credit = ({result}: World, kind: string, earned: number, owed: number): void => {
	const sum = result.credit.get(kind) ?? {earned: 0, owed: 0};
	result.credit.set(kind, {earned: sum.earned + earned, owed: sum.owed + owed});
};

const getCount = ({result}: World, kind: string): {inTime: number; late: number; open: number} => {
	const count = result.counts.get(kind) ?? {inTime: 0, late: 0, open: 0};
	result.counts.set(kind, count);
	return count;
};

/** A job is worth a part for being done at all, and a part for its work against the mean of its kind. */
const getWorth = ({kind, coreMs}: OfferedJob): number => {
	const meanCoreMs = kind.steps.mean * kind.width.mean * kind.workMs.mean * kind.milliCpu.mean / 1000;
	return kind.worth * Math.min(4, 0.3 + (0.7 * coreMs / meanCoreMs));
};

const takeEnds = (world: World, follower: WorkflowFollower): void => {
	const nowMs = world.clock.monotonicMs();
	for (const job of world.jobs.values()) {
		const isEnded = world.ended.has(job.id);
		if (job.kind.serving !== undefined || isEnded || follower.fold.workflows.get(job.id)?.state !== WorkflowState.Completed) {
			continue;
		}

		const allowedMs = (job.kind.stretch * job.chainMs) + job.kind.targetLatencyMs;
		const tookMs = nowMs - job.atMs;
		const share = tookMs <= allowedMs ? 1 : (tookMs <= lateTimes * allowedMs ? lateShare : 0);
		credit(world, job.kind.name, share * getWorth(job), getWorth(job));
		const count = getCount(world, job.kind.name);
		count.inTime += share === 1 ? 1 : 0;
		count.late += share === 1 ? 0 : 1;
		world.ended.add(job.id);
	}
};

/** Each job that serves earns by the share of its tasks at work in each window. */
const countWindow = (world: World, serving: OfferedJob[], fromMs: number, untilMs: number): void => {
	for (const job of serving) {
		const served = world.served.get(job.id) ?? {goodMs: 0, harmMs: 0};
		if (job.atMs <= fromMs && job.cancelAtMs >= fromMs + windowMs && fromMs < untilMs) {
			const wholeMs = job.spec.steps[0]!.count * windowMs;
			credit(world, job.kind.name, job.kind.worth * Math.max(0, served.goodMs - ((harmTimes - 1) * served.harmMs)) / wholeMs, job.kind.worth);
			world.result.harmS += served.harmMs / secondMs;
		}
	}

	world.served.clear();
};

const countOpen = (world: World): void => {
	for (const job of world.jobs.values()) {
		if (!job.kind.serving && !world.ended.has(job.id)) {
			credit(world, job.kind.name, 0, getWorth(job));
			getCount(world, job.kind.name).open++;
		}
	}
};
