/**
Wider random series of faults on a simulated site: faults of single paths, late messages and appends, restarts of agents with
faults on top of them, and suspensions in series.
*/
import fc from 'fast-check';
import {agentsTopic, controlTopic} from '../src/agents/control-records.ts';
import {type StoreCall} from '../src/standin/memory-store.ts';
import {OrderFault} from '../src/standin/worker-options.ts';
import {SubmitOutcome} from '../src/types/job-api.ts';
import {workflowsTopic} from '../src/workflows/records.ts';
import {type AgentHost} from './simulated-processes.ts';
import {createSpec, createStep, type SimulatedSite} from './simulated-site.ts';
import {
	entries, Fault, hosts, playStep, type Step, type SubmittedJobs,
} from './site-faults.ts';

/** Kinds of faults of the wider series; the set decides what a seed plays. */
export enum WideFault {
	CutPath = 'cut-path',
	LosePathAnswers = 'lose-path-answers',
	LatePath = 'late-path',
	LateEntry = 'late-entry',
	LateAppends = 'late-appends',
	LateAppendAnswers = 'late-append-answers',
	RestartAgentOnCutPath = 'restart-agent-on-cut-path',
	RestartAgentOfSilentWorker = 'restart-agent-of-silent-worker',
	OverlapAgents = 'overlap-agents',
	RestartAgentWithOldClock = 'restart-agent-with-old-clock',
	SuspendInSeries = 'suspend-in-series',
	WorkerDown = 'worker-down',
	/** A fault that comes at the next occurrence of an event. */
	AtEvent = 'at-event',
	SubmitLong = 'submit-long',
}

/** A step of a wider series. `detailMs` sets the delay, the restart or the offset of its fault. */
export type WideStep<Type = Fault | WideFault> = Step<Type> & {detailMs: number};

/** Called for each event of the log. */
export type EventWatch = (source: string, event: string, fields: Record<string, unknown>) => void;

/** What a step acts on. */
export type Scene = {
	site: SimulatedSite;
	jobs: SubmittedJobs;
	watches: Set<EventWatch>;
	step: WideStep<unknown>;
	host: AgentHost;
	entryName: string;
	/** Ends the fault after the step's time. */
	later: (act: () => void) => void;
};

/** Spreads delays up to the bound so that consecutive messages overtake each other. */
export const createDelays = (maxMs: number): () => number => {
	let calls = 0;
	return () => Math.floor(maxMs * ((++calls * 0.618) % 1));
};

const cutPath = ({site, host, entryName, later}: Scene): void => {
	const path = `${entryName}>${host.name}`;
	site.cuts.add(path);
	later(() => {
		site.cuts.delete(path);
	});
};

const delayPaths = ({site, step, later}: Scene, paths: string[]): void => {
	for (const path of paths) {
		const delays = {getTransitMs: createDelays(step.detailMs), getAnswerMs: createDelays(step.detailMs)};
		site.pathDelays.set(path, delays);
		later(() => {
			if (site.pathDelays.get(path) === delays) {
				site.pathDelays.delete(path);
			}
		});
	}
};

/** Delays the appends of one process, or those to one topic. */
const delayAppends = ({site, step, host, entryName}: Scene, member: 'getDelayMs' | 'getAnswerDelayMs'): void => {
	const {store, clock} = site;
	const untilMs = clock.monotonicMs() + step.forMs;
	const getMs = createDelays(step.detailMs / 2);
	const victim = [entryName, host.name, workflowsTopic, controlTopic, agentsTopic][step.detailMs % 5];
	const isHit = ({kind, ref, client}: StoreCall) => kind === 'append' && (client === victim || ref?.topic === victim);
	const before = store[member];
	store[member] = call => clock.monotonicMs() < untilMs && isHit(call) ? getMs() : before(call);
};

/** Kills an agent and starts it again at once; returns whether it was running. */
const restartAgent = ({site, host, step}: Scene, onStart: () => void = () => undefined): boolean => {
	if (!host.agent || host.clock.isPaused) {
		return false;
	}

	site.killAgent(host.name);
	site.clock.setTimer(() => {
		site.startAgent(host.name);
		onStart();
	}, 20 + (step.detailMs % 180));
	return true;
};

const silenceWorker = ({site, host, step}: Scene): void => {
	const {worker} = host;
	const fault = step.detailMs % 2 === 0 ? OrderFault.Drop : OrderFault.LoseAnswer;
	site.clock.setTimer(() => {
		worker.getFault = () => fault;
		site.clock.setTimer(() => {
			worker.getFault = () => OrderFault.None;
		}, step.forMs);
	}, step.detailMs);
};

/** Lets a new agent serve while the one before still ends. */
const overlapAgents = ({site, host, step}: Scene): void => {
	const {agent, aborter, clock} = host;
	if (agent && !clock.isPaused) {
		site.startAgent(host.name);
		site.clock.setTimer(() => {
			aborter.abort();
			clock.isPaused = true;
		}, 50 + Math.floor(step.detailMs / 4));
	}
};

const suspendInSeries = ({site, step, entryName}: Scene): void => {
	const entry = site.entries.get(entryName);
	const endMs = site.clock.monotonicMs() + step.forMs;
	const suspend = () => {
		if (!entry || entry.clock.isPaused || site.entries.get(entryName) !== entry || site.clock.monotonicMs() >= endMs) {
			return;
		}

		entry.clock.isPaused = true;
		site.clock.setTimer(() => {
			if (site.entries.get(entryName) === entry) {
				entry.clock.resume();
				site.clock.setTimer(suspend, 50 + (step.detailMs % 400));
			}
		}, 500 + Math.floor(step.detailMs * 1.3));
	};

	suspend();
};

const loseAnswers = ({site, host, entryName, later}: Scene): void => {
	const path = `${entryName}>${host.name}`;
	site.lostAnswers.add(path);
	later(() => {
		site.lostAnswers.delete(path);
	});
};

const submitLong = async ({site, step, jobs}: Scene): Promise<void> => {
	const id = jobs.size.toString(16).padStart(16, '0');
	const spec = createSpec([createStep({count: 4, milliCpu: 1000}), createStep({count: 1, milliCpu: 500, after: [0]})]);
	jobs.set(id, (await site.submit(id, spec, [...site.entries.keys()][step.target % site.entries.size])).outcome);
};

const suspendOnce = ({site, entryName, step}: Scene): void => {
	const entry = site.entries.get(entryName);
	if (entry && !entry.clock.isPaused) {
		entry.clock.isPaused = true;
		site.clock.setTimer(() => {
			if (site.entries.get(entryName) === entry) {
				entry.clock.resume();
			}
		}, 500 + (step.forMs / 4));
	}
};

const endFaults = ({site}: Scene): void => {
	site.cuts.clear();
	site.lostAnswers.clear();
	site.pathDelays.clear();
};

const restartAgentOfSilentWorker = (scene: Scene): void => {
	restartAgent(scene, () => {
		silenceWorker(scene);
	});
};

const eventTypes = [
	'agent lost',
	'loss stored',
	'agent silent',
	'agent answers',
	'agent back',
	'declared lost',
	'lapsed',
	'registered',
	'worker came',
	'worker unanswered',
	'leases over without an answer',
	'orders unanswered',
	'took over',
	'settled',
	'run lost',
	'start answered',
	'newer owner',
	'fence raised',
];

const reactions: Array<(scene: Scene) => void> = [
	restartAgent,
	endFaults,
	scene => {
		endFaults(scene);
		restartAgent(scene);
	},
	restartAgentOfSilentWorker,
	silenceWorker,
	suspendOnce,
	({site, entryName, later}) => {
		if (site.entries.has(entryName) && site.entries.size > 1) {
			site.killEntry(entryName);
			later(() => {
				site.startEntry(entryName);
			});
		}
	},
	scene => {
		delayPaths(scene, hosts.map(name => `${scene.entryName}>${name}`));
	},
	cutPath,
	({host}) => {
		host.worker.crash();
	},
];

const maxWatchMs = 10_000;
const reactionStepMs = 10;

/** Waits for the next occurrence of an event and lets a fault hit the process and the host that it is about. */
const reactToEvent = (scene: Scene): void => {
	const {site: {clock, hosts: allHosts, entries: allEntries}, step: {detailMs}, watches} = scene;
	const untilMs = clock.monotonicMs() + maxWatchMs;
	const react = reactions[Math.floor(detailMs / eventTypes.length) % reactions.length]!;
	const delayMs = reactionStepMs * Math.floor(detailMs / (eventTypes.length * reactions.length));
	const watch: EventWatch = (source, event, {host}) => {
		if (event === eventTypes[detailMs % eventTypes.length] && clock.monotonicMs() < untilMs) {
			watches.delete(watch);
			clock.setTimer(() => {
				react({...scene, host: allHosts.get(host as string) ?? allHosts.get(source) ?? scene.host, entryName: allEntries.has(source) ? source : scene.entryName});
			}, delayMs);
		}
	};

	watches.add(watch);
};

const wideFaults: Record<WideFault, (scene: Scene) => void | Promise<void>> = {
	[WideFault.CutPath]: cutPath,
	[WideFault.LosePathAnswers]: loseAnswers,
	[WideFault.LatePath](scene) {
		delayPaths(scene, [`${scene.entryName}>${scene.host.name}`]);
	},
	[WideFault.LateEntry](scene) {
		delayPaths(scene, hosts.map(name => `${scene.entryName}>${name}`));
	},
	[WideFault.LateAppends](scene) {
		delayAppends(scene, 'getDelayMs');
	},
	[WideFault.LateAppendAnswers](scene) {
		delayAppends(scene, 'getAnswerDelayMs');
	},
	[WideFault.RestartAgentOnCutPath](scene) {
		if (restartAgent(scene)) {
			cutPath(scene);
		}
	},
	[WideFault.RestartAgentOfSilentWorker]: restartAgentOfSilentWorker,
	[WideFault.OverlapAgents]: overlapAgents,
	[WideFault.RestartAgentWithOldClock](scene) {
		scene.host.wallOffsetMs -= scene.step.detailMs * 20;
		restartAgent(scene);
	},
	[WideFault.SuspendInSeries]: suspendInSeries,
	[WideFault.WorkerDown]({host, step}) {
		host.worker.crash(step.detailMs);
	},
	[WideFault.AtEvent]: reactToEvent,
	[WideFault.SubmitLong]: submitLong,
};

const isWide = (faultType: Fault | WideFault): faultType is WideFault => faultType in wideFaults;

/** Plays one step. */
export const playWideStep = async (scene: Scene, step: WideStep): Promise<void> => {
	const {site, jobs} = scene;
	const {faultType, target} = step;
	const entryName = [...site.entries.keys()][target % site.entries.size]!;
	const entry = site.entries.get(entryName);
	try {
		await (isWide(faultType) ? wideFaults[faultType](scene) : playStep(site, {...step, faultType}, jobs));
	} catch (error) {
		const isAnswerable = site.entries.get(entryName) === entry;
		if (isAnswerable || (faultType !== Fault.Submit && faultType !== WideFault.SubmitLong)) {
			throw error;
		}

		// The entry was killed before it answered.
		jobs.set(jobs.size.toString(16).padStart(16, '0'), SubmitOutcome.Unknown);
	}
};

/** Finds the host and the entry that a step is about. */
export const createScene = (site: SimulatedSite, step: WideStep<unknown>, shared: Pick<Scene, 'jobs' | 'watches'>): Scene => {
	const entryNames = [...entries, site.getOwnerName() ?? entries[0]!];
	return {
		...shared,
		site,
		step,
		host: site.hosts.get(hosts[step.target % hosts.length]!)!,
		entryName: entryNames[Math.floor(step.target / hosts.length) % entryNames.length]!,
		later(act) {
			site.clock.setTimer(act, step.forMs);
		},
	};
};

const frequent = [WideFault.AtEvent, WideFault.AtEvent, Fault.Submit, Fault.Submit, WideFault.SubmitLong, WideFault.SubmitLong];

/** Creates series of steps of the kinds. */
export const createSeries = <Type>(faultTypes: Type[]): fc.Arbitrary<Array<WideStep<Type>>> => fc.array(fc.record({
	faultType: fc.constantFrom(...faultTypes),
	target: fc.nat(11),
	forMs: fc.integer({min: 200, max: 9000}),
	pauseMs: fc.integer({min: 10, max: 2500}),
	detailMs: fc.nat(1900),
}), {minLength: 4, maxLength: 24});

/** Kinds of the wider series; those that are listed more often come more often. */
export const wideFaultTypes: Array<Fault | WideFault> = [...Object.values(Fault), ...Object.values(WideFault), ...Object.values(WideFault), ...frequent];

/** Wider series of faults. */
export const wideFaultSeries = createSeries(wideFaultTypes);
