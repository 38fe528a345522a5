/**
Simulated site on manual time: a store, workers with their agents, and entries, which tests disconnect, suspend, kill and
restart. Checks the invariants of scheduling from the events of the workers.
*/
import {Agent} from '../src/agents/agent.ts';
import {agentsTopic} from '../src/agents/control-records.ts';
import {RegistrationReader} from '../src/agents/registration-reader.ts';
import {leaseDurationMs} from '../src/agents/worker-lease.ts';
import {getPartition} from '../src/core/partitions.ts';
import {Feature, setAllFeatures} from '../src/core/site-features.ts';
import {MemoryStore} from '../src/standin/memory-store.ts';
import {type RunPlan} from '../src/standin/run-plan.ts';
import {SiteWorker} from '../src/standin/site-worker.ts';
import {type WorkerEvent} from '../src/standin/worker-options.ts';
import {WorkerGangs} from '../src/standin/worker-gangs.ts';
import {type AdviceClient} from '../src/types/advice.ts';
import {LookupOutcome, type JobApi, type SubmitReply} from '../src/types/job-api.ts';
import {type WorkerStart} from '../src/types/fleet.ts';
import {type Random} from '../src/types/random.ts';
import {type Evacuations, type QueueConfig} from '../src/types/site.ts';
import {
	parseTaskId, type WorkflowSpec, type WorkflowState, type WorkflowStep,
} from '../src/types/workflows.ts';
import {ManualClock} from '../src/utils/manual-clock.ts';
import {WorkflowApi} from '../src/workflows/workflow-api.ts';
import {QueueHomes} from '../src/workflows/queue-homes.ts';
import {Owner} from '../src/workflows/owner.ts';
import {formatMember, Ownership} from '../src/workflows/ownership.ts';
import {createPolicy} from '../src/workflows/policy.ts';
import {workflowsTopic} from '../src/workflows/records.ts';
import {RelayingApi} from '../src/workflows/relaying-api.ts';
import {SiteInvariants} from './site-invariants.ts';
import {ProcessClock} from './simulated-membership.ts';
import {type AgentHost, type EntryProcess} from './simulated-processes.ts';
import {createAgentClient, createEntryClient, type SitePaths} from './site-calls.ts';
import {createFollowers} from './simulated-followers.ts';
import {createPausableClient} from './pausable-client.ts';

export const service = 'desk';
const partitions = 8;
export const partition = getPartition(service, partitions);
/** How long members of a gang wait for each other. */
export const gangTimeoutMs = 3000;
/** No task of a cancelled job starts later than this after the cancellation. */
export const cancelMs = 3000;

export const queue: QueueConfig = {
	name: 'issue', host: 'a.example', pathPrefix: '/issue/', service, priority: 0, maxAttempts: 3, stretch: 2, targetLatencyMs: 500, timeoutMs: 3000,
};

export const createStep = (step: Partial<WorkflowStep> = {}): WorkflowStep => ({
	count: 1,
	milliCpu: 1000,
	memoryMb: 100,
	accelerators: 0,
	estimateMs: 1000,
	after: [],
	isCheckpointing: false,
	isGang: false,
	isSameRack: false,
	maxPerWorker: 0,
	isSpeculative: false,
	isLasting: false,
	targetMs: 0,
	isFilling: false,
	...step,
});

export const createSpec = (steps: WorkflowStep[], spec: Partial<WorkflowSpec> = {}): WorkflowSpec => ({
	input: 'text', steps, firstDueMs: 0, intervalMs: 0, repeatCount: 0, ...spec,
});

const ignore = () => undefined;

/** The simulated site. */
export class SimulatedSite {
	readonly controlPartition = partition;
	readonly queue = queue;
	readonly clock = new ManualClock();
	readonly store = new MemoryStore(this.clock, partitions);
	readonly entries = new Map<string, EntryProcess>();
	readonly hosts = new Map<string, AgentHost>();
	readonly notes: Array<{source: string; event: string; fields: Record<string, unknown>}> = [];
	readonly events: WorkerEvent[] = [];
	adviceClient: AdviceClient | undefined;
	/** Pairs `entry>host` between which no call passes. */
	readonly cuts = new Set<string>();
	readonly pathDelays: SitePaths['pathDelays'] = new Map();
	readonly uplinks: SitePaths['uplinks'] = new Map();
	/** Whether calls to a suspended agent wait until it continues. */
	keepsCalls = false;
	/** Whether callers' calls are relayed to other entries. */
	isRelaying = false;
	/** Pairs `entry>entry` or `entry>host` whose calls are carried out but not answered. */
	readonly lostAnswers = new Set<string>();
	/** Entries whose last call to the store failed. */
	readonly storeFailing = new Set<string>();
	/** Entries that have not reached the store for a while. */
	readonly storeLost = new Set<string>();
	readonly invariants = new SiteInvariants(() => [...this.hosts.values()].map(({worker}) => worker));
	/** Services that the entries know which start from now on. */
	services = [service];
	/** Service of the workers that are added from now on. */
	workerService = service;
	/** Random numbers of all entries. */
	random: Pick<Random, 'next'> = {next: () => 0.5};
	/** Features of the entries that start from now on. */
	features = setAllFeatures(true);
	/** Work between two checkpoints of tasks that write them; undefined: they write none. */
	checkpointMs: number | undefined;
	readonly #gangs = new WorkerGangs(this.clock, gangTimeoutMs, member => {
		this.invariants.reportMismatch(member);
	});

	#incarnations = 0;

	get violations(): string[] {
		return this.invariants.violations;
	}

	/** Jobs as submitted, by id. */
	get specs(): Map<string, WorkflowSpec> {
		return this.invariants.specs;
	}

	/** Services to which a configuration has sent the queue of a job, by job. */
	get jobServices(): Map<string, Set<string>> {
		return this.invariants.jobServices;
	}

	/** Evacuations as an entry knows them; tests replace this. */
	getEvacuations: (entry: string) => Evacuations = () => ({asOf: 0, failureDomains: []});

	/** Delay before an entry sends a call to an agent, and before it handles an answer. */
	getCallDelayMs = (): number => 0;
	getAnswerDelayMs: SitePaths['getAnswerDelayMs'] = () => 0;

	/** Called for each event of the log, at its moment. */
	onNote: (source: string, event: string, fields: Record<string, unknown>) => void = () => undefined;

	plan: (start: WorkerStart) => RunPlan = () => ({workMs: 1000});

	addHost(name: string, milliCpu = 4000, labels = ['a', 'r1-1'], failureDomain = 'hall', isDown = false): AgentHost {
		const worker = new SiteWorker(name, {
			clock: this.clock,
			report: {
				service: this.workerService, failureDomain, milliCpu, memoryMb: 64_000, accelerators: 0, labels,
			},
			plan: start => ({...this.#getStepPlan(start), ...this.plan(start)}),
			onEvent: event => {
				this.events.push(event);
				this.invariants.checkEvent(event);
			},
			maxLeaseMs: 6000,
			stopMs: 100,
			gangs: this.#gangs,
		});
		const host: AgentHost = {
			name, worker, clock: new ProcessClock(this.clock), wallOffsetMs: 0, agent: undefined, aborter: new AbortController(),
		};
		worker.isDown = isDown;
		this.hosts.set(name, host);
		this.startAgent(name);
		this.#announce(host);
		return host;
	}

	startAgent(name: string): void {
		const host = this.hosts.get(name)!;
		host.aborter = new AbortController();
		host.clock = new ProcessClock(this.clock, host.wallOffsetMs);
		const {service: hostService} = host.worker.announce();
		const agent = new Agent({
			registration: {
				host: name, address: name, service: hostService, failureDomain: 'hall',
			},
			partition: getPartition(hostService, partitions),
			store: createPausableClient(host.clock, this.store.createClient(name)),
			client: createPausableClient(host.clock, host.worker.createClient()),
			clock: host.clock,
			life: `life-${++this.#incarnations}`,
			leaseDurationMs,
			maxLeaseMs: 6000,
			note: this.#createNote(name),
		});
		host.agent = agent;
		void agent.run(host.aborter.signal);
	}

	killAgent(name: string): void {
		const host = this.hosts.get(name)!;
		host.aborter.abort();
		host.clock.isPaused = true;
		host.agent = undefined;
	}

	startEntry(name: string, processors = 1): EntryProcess {
		const clock = new ProcessClock(this.clock);
		const aborter = new AbortController();
		const store = createPausableClient(clock, this.store.createClient(name));
		const life = `${name}-${++this.#incarnations}`;
		const note = this.#createNote(name);
		const {followers, getFollower} = createFollowers(store, clock, aborter.signal);
		for (const followed of this.services) {
			getFollower(getPartition(followed, partitions));
		}

		const follower = getFollower(partition);
		const homes = new QueueHomes({
			store, clock, note, onHome(home) {
				getFollower(getPartition(home, partitions));
			},
		});
		const jobs = new WorkflowApi({
			store, clock, partitions, homes, producer: life, maxCallBytes: 2_000_000, getConfig: () => undefined, getFollower, isStoreLost: () => this.storeLost.has(name), onWriterEvent: ignore, note, admission: this.features[Feature.Admission] ? {refusesLate: this.features[Feature.LateRefusals], random: this.random, note} : undefined,
		});
		const relay = new RelayingApi({
			local: jobs, clock, note, client: createEntryClient(this, name), isStoreLost: () => this.storeLost.has(name), getOthers: () => [...this.entries.keys()].filter(other => other !== name).map(other => ({host: other, address: other})),
		});
		// The host's name is the address of its agent.
		const reader = new RegistrationReader({maxLeaseMs: leaseDurationMs, isAddress: address => /^[\w-]+$/.test(address), note});
		const ownership = new Ownership({
			store,
			clock,
			note,
			group: 'owners',
			topic: workflowsTopic,
			member: formatMember(name, processors, life),
			processors,
			async countWorkers() {
				const {records} = await store.readNewest({topic: agentsTopic, partition: 0});
				return reader.count(records);
			},
			isAlive: async (address, incarnation) => this.entries.get(address)?.life === incarnation,
			minTtlMs: 1000,
			getCaughtUpAtMs: () => followers.caughtUpAtMs,
			hasService: used => followers.has(used),
			createOwner: (owned, epoch, {onSuperseded, onGap, getHeartbeatAtMs}) => new Owner({
				store, clock, client: createPausableClient(clock, createAgentClient(this, name)), partition: owned, partitions, getFollower, epoch, adviceClient: this.adviceClient, maxCallBytes: 2_000_000, retentionMs: 60_000, leaseDurationMs, gangTimeoutMs, cancelMs, getEvacuations: () => this.getEvacuations(name), getHeartbeatAtMs, note, onSuperseded, onGap, host: name, follower: getFollower(owned), reader, getHome: name => name === queue.name ? homes.get(queue) : undefined, isOwned: registration => getPartition(registration.service, partitions) === owned, policy: createPolicy(), features: this.features,
			}),
		});
		void homes.run(aborter.signal);
		void ownership.run(aborter.signal);
		const entry = {
			name, life, clock, aborter, jobs, relay, follower, ownership,
		};
		this.entries.set(name, entry);
		return entry;
	}

	/** Ends the process at once, without its pending work. */
	killEntry(name: string): void {
		this.entries.get(name)!.clock.isPaused = true;
		this.entries.delete(name);
	}

	/** An entry that considers itself the owner of the partition. */
	getOwnerName(): string | undefined {
		return [...this.entries.values()].find(({ownership}) => ownership.owners.has(partition))?.name;
	}

	async submit(id: string, spec: WorkflowSpec, entryName?: string, asQueue = queue): Promise<SubmitReply> {
		this.specs.set(id, spec);
		this.jobServices.set(id, (this.jobServices.get(id) ?? new Set()).add(asQueue.service));
		return this.settle(this.#getJobs(entryName).submit(asQueue, id, spec, 2500));
	}

	async cancel(id: string, entryName?: string, asQueue = queue): Promise<LookupOutcome> {
		return this.settle(this.#getJobs(entryName).cancel(asQueue, id, 2500));
	}

	async getState(id: string, entryName?: string, asQueue = queue): Promise<WorkflowState | LookupOutcome> {
		const {outcome, state} = await this.settle(this.#getJobs(entryName).getState(asQueue, id, 2500));
		return outcome === LookupOutcome.Found ? state! : outcome;
	}

	/** Advances time until the promise is settled. */
	async settle<Value>(promise: Promise<Value>): Promise<Value> {
		const results: Value[] = [];
		void promise.then(value => {
			results.push(value);
		});
		for (let steps = 0; steps < 2000; steps++) {
			if (results.length > 0) {
				return results[0]!;
			}

			await this.clock.advance(5);
		}

		throw new Error('promise not settled after 2000 steps of 5 ms');
	}

	/** Advances until the condition holds; returns the time that it took, or undefined after the bound. */
	async waitFor(isMet: () => boolean, boundMs: number): Promise<number | undefined> {
		const startMs = this.clock.monotonicMs();
		while (!isMet()) {
			if (this.clock.monotonicMs() - startMs > boundMs) {
				return undefined;
			}

			await this.clock.advance(10);
		}

		return this.clock.monotonicMs() - startMs;
	}

	/** Number of starts of a task so far. */
	getStarts(taskId: string): number {
		return this.events.filter(event => event.type === 'started' && event.taskId === taskId).length;
	}

	isRunning(taskId: string): boolean {
		return [...this.hosts.values()].some(({worker}) => worker.running.has(taskId));
	}

	/** Stops all processes of the site. */
	stop(): void {
		for (const {aborter, ownership} of this.entries.values()) {
			aborter.abort();
			for (const owner of ownership.owners.values()) {
				owner.stop();
			}
		}

		for (const {aborter} of this.hosts.values()) {
			aborter.abort();
		}
	}

	#getJobs(name = [...this.entries.keys()][0]!): JobApi {
		const {jobs, relay} = this.entries.get(name)!;
		return this.isRelaying ? relay : jobs;
	}

	#announce(host: AgentHost): void {
		if (!host.worker.isDown) {
			host.agent?.handleAnnouncement(host.worker.announce());
		}

		this.clock.setTimer(() => {
			this.#announce(host);
		}, 500);
	}

	#createNote(source: string): (event: string, fields?: Record<string, unknown>) => void {
		return (event, fields = {}) => {
			this.notes.push({source, event, fields});
			this.onNote(source, event, fields);
		};
	}

	#getStepPlan({taskId}: WorkerStart): Partial<RunPlan> {
		const ref = parseTaskId(taskId)!;
		const step = this.specs.get(ref.workflowId)?.steps[ref.step];
		return {...(step?.isGang && {gangSize: step.count}), ...(step?.isCheckpointing && {checkpointMs: this.checkpointMs})};
	}
}
