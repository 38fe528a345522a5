/**
The owner of the jobs of one partition: takes them over, keeps in touch with the agents of their workers, and starts,
restarts and stops tasks.
*/
import {type Buffer} from 'node:buffer';
import {setMaxListeners} from 'node:events';
import {
	controlTopic, ControlType, encodeControl, agentsTopic,
} from '../agents/control-records.ts';
import {workerClockSlowShare} from '../agents/lease-clock.ts';
import {getMessage} from '../core/errors.ts';
import {ProducerWriter, WriteOutcome} from '../core/producer-writer.ts';
import {type Clock} from '../types/clock.ts';
import {
	OrderRefusal, OrderType, type AgentRegistration, type Order, type WatchReply, type WorkerAnswer,
} from '../types/fleet.ts';
import {AppendOutcome, type StoreClient} from '../types/store.ts';
import {type EndedRun} from '../types/workflows.ts';
import {AgentLinks, type AgentClient} from './agent-links.ts';
import {FillHarm, getFillers, getServers} from './fill-harm.ts';
import {type FleetWorker} from './fleet-view.ts';
import {isFinal, type FoldedWorkflow} from './fold.ts';
import {type WorkflowFollower} from './follower.ts';
import {decidePaces} from './harm-pacing.ts';
import {
	getRuns, LiveModel, RunPhase, type LiveRun, type LiveTask, type LiveWorkflow,
} from './live-model.ts';
import {place, type Start} from './placement.ts';
import {encodeRecord, RecordType, workflowsTopic} from './records.ts';
import {LossReason, RunBook} from './run-book.ts';

/** Options of an owner. */
export type OwnerOptions = {
	store: StoreClient;
	clock: Clock;
	client: AgentClient;
	follower: WorkflowFollower;
	partition: number;
	/** Name of this entry. */
	host: string;
	/** Higher than that of any owner before. */
	epoch: number;
	leaseHorizonMs: number;
	maxCallBytes: number;
	isMine: (registration: AgentRegistration) => boolean;
	/** A newer owner is known. */
	onDeposed: () => void;
	note: (event: string, fields: Record<string, unknown>) => void;
};

/** Name under which every owner writes: the epoch tells them apart and keeps earlier ones out. */
const ownerProducer = 'owner';
/** Ends gather for so long before they are stored: one call takes them all. */
const endsGatherMs = 6;
/** Changes gather for so long before a round of placement. */
const roundDelayMs = 4;
/** Things that depend on time alone are looked at this often. */
const tickMs = 50;
const stopRetryMs = 700;
const begunEveryMs = 400;
/** An agent that was silent for so long is declared lost. Shorter cuts heal by themselves, and its tasks live on. */
const lostAfterMs = 4000;
/** An agent with nothing to run that was silent for so long is taken for gone: a later owner need not wait for it. */
const removedAfterMs = 30_000;
/** Added to the longest lease before tasks of a lost agent start elsewhere: ways and kills take some ms. */
const lostSlackMs = 500;
const claimRetryMs = 150;
/** Longer than the time between two listings of a worker. */
const unknownPauseMs = 1000;
/** An agent that was not heard for so long gets no orders. */
const reachableMs = 1500;
/** What a serving task reports is of the last half second: a mix that changed within it explains nothing. */
const measuredMs = 550;
/** Pauses of a worker after a refusal, by what it says of how soon things change. */
const refusalPauseMs: Partial<Record<OrderRefusal, number>> = {
	[OrderRefusal.NoRoom]: 300,
	[OrderRefusal.Unhealthy]: 1000,
	[OrderRefusal.NoLease]: 200,
	[OrderRefusal.Unanswered]: 500,
	[OrderRefusal.Draining]: 1000,
};

/** Many tasks wait on the signal: one for each agent and more. */
const createAborter = (): AbortController => {
	const aborter = new AbortController();
	setMaxListeners(0, aborter.signal);
	return aborter;
};

const getPace = (worker: FleetWorker, run: LiveRun): number => worker.paces.get(run.task.step.spec.image ?? '')?.percent ?? 100;

/** The owner. */
export class Owner {
	readonly model = new LiveModel();
	readonly links: AgentLinks;
	readonly #options: OwnerOptions;
	readonly #book: RunBook;
	readonly #writer: ProducerWriter;
	readonly #aborter = createAborter();
	#lastStore: Promise<boolean> = Promise.resolve(true);
	#isRoundDue = false;
	#claimOffset = Number.POSITIVE_INFINITY;
	#claimedAtMs = 0;
	#isSettled = false;
	readonly #harm = new FillHarm();
	readonly #begun = new Set<string>();
	#begunSentAtMs = 0;
	#scheduled: Array<{dueAtMs: number; workflow: LiveWorkflow}> = [];

	constructor(options: OwnerOptions) {
		const {store, clock, client, partition, epoch, maxCallBytes, note, isMine, follower} = options;
		this.#options = options;
		this.#writer = new ProducerWriter({
			store,
			clock,
			ref: {topic: workflowsTopic, partition},
			producer: ownerProducer,
			epoch,
			gatherMs: endsGatherMs,
			maxBatchBytes: maxCallBytes / 2,
			onNote(event, detail) {
				note(`store ${event}`, {detail, writer: ownerProducer});
			},
		});
		this.links = new AgentLinks({
			store,
			clock,
			client,
			epoch,
			isMine,
			registrations: {topic: agentsTopic, partition: 0},
			getProvenAtMs: () => follower.fold.epoch === epoch ? follower.provenAtMs : Number.NEGATIVE_INFINITY,
			onReply: (worker, reply) => {
				this.#takeReply(worker, reply);
			},
			onDeposed: newerEpoch => {
				this.#depose(`an agent knows epoch ${newerEpoch}`);
			},
			note,
		});
		this.#book = new RunBook(this.model, {
			store: async ends => this.#storeEnds(ends),
			onBegun: task => {
				this.#noteBegun(task);
			},
			recall: ref => {
				const folded = follower.fold.workflows.get(ref.workflowId);
				if (folded && isFinal(folded.state)) {
					this.model.recall(folded, clock.now().getTime(), clock.monotonicMs());
				}

				return this.model.find(ref);
			},
			onUnknown: (worker, taskId, run) => {
				this.#stopUnknown(worker, taskId, run);
			},
			onExhausted(task) {
				note('job failed', {id: task.ref.workflowId, taskId: task.taskId, failures: task.failures});
				task.step.workflow.isOver = true;
			},
			onChange: () => {
				this.#wantRound();
			},
			note,
		});
	}

	/** Takes the partition over and runs it until stopped or deposed. */
	async run(): Promise<void> {
		const {signal} = this.#aborter;
		if (!await this.#claim(signal)) {
			return;
		}

		const {follower, clock, note, epoch} = this.#options;
		this.model.load(follower.fold, clock.now().getTime(), clock.monotonicMs());
		follower.fold.listener = {
			onSubmit: folded => {
				const {workflow, offset} = folded;
				note('job taken', {
					id: workflow.id, offset, queue: workflow.queue, steps: workflow.steps.map(step => step.count), ageMs: clock.now().getTime() - workflow.receivedAtMs,
				});
				this.#schedule(this.model.add(folded, clock.now().getTime(), clock.monotonicMs()));
				this.#wantRound();
			},
			onFinal: folded => {
				this.#finish(folded);
			},
			onClaim: claimed => {
				if (claimed > epoch) {
					this.#depose(`the stream shows epoch ${claimed}`);
				}
			},
		};
		for (const workflow of this.model.workflows.values()) {
			this.#schedule(workflow);
		}

		note('took over', {partition: this.#options.partition, epoch, jobs: this.model.workflows.size});
		await Promise.all([this.links.run(signal), this.#tick(signal)]);
	}

	/** Stops at once; what runs goes on under its leases. */
	stop(): void {
		this.#aborter.abort();
		this.#options.follower.fold.listener = undefined;
	}

	#depose(reason: string): void {
		if (!this.#aborter.signal.aborted) {
			this.#options.note('deposed', {partition: this.#options.partition, epoch: this.#options.epoch, reason});
			this.stop();
			this.#options.onDeposed();
		}
	}

	/**
	Fences off the owner before in the jobs stream, tells agents by the control stream, and reads the stream to its end.
	*/
	async #claim(signal: AbortSignal): Promise<boolean> {
		const {epoch, host, follower, clock, partition, store, note} = this.#options;
		const claim = encodeRecord({type: RecordType.Claim, epoch, owner: host});
		if (await this.#writer.write(claim) !== WriteOutcome.Stored || signal.aborted) {
			this.#depose('the claim is fenced');
			return false;
		}

		while (!signal.aborted) {
			try {
				const result = await store.append({topic: controlTopic, partition}, [encodeControl({type: ControlType.Claim, epoch, owner: host})], {
					stamp: {producer: ownerProducer, epoch, sequence: 0}, timeoutMs: 1000,
				});
				if (result.outcome === AppendOutcome.Fenced) {
					this.#depose('the claim in the control stream is fenced');
					return false;
				}

				if (result.outcome === AppendOutcome.Appended && await follower.catchUp(1000) && follower.fold.epoch === epoch) {
					break;
				}
			} catch (error) {
				note('claim not stored', {error: getMessage(error)});
			}

			await clock.sleep(claimRetryMs, signal);
		}

		this.#claimOffset = follower.fold.offset;
		this.#claimedAtMs = clock.monotonicMs();
		return !signal.aborted;
	}

	async #tick(signal: AbortSignal): Promise<void> {
		const {clock} = this.#options;
		while (!signal.aborted) {
			this.#openDue();
			this.#checkSettled();
			this.#checkLost();
			this.#stopOver();
			this.#sendBegun();
			this.#wantRound();
			await clock.sleep(tickMs, signal);
		}
	}

	#wantRound(): void {
		if (this.#isRoundDue) {
			return;
		}

		this.#isRoundDue = true;
		this.#options.clock.setTimer(() => {
			this.#isRoundDue = false;
			if (!this.#aborter.signal.aborted) {
				this.#round();
			}
		}, roundDelayMs);
	}

	#round(): void {
		const {clock} = this.#options;
		const nowMs = clock.monotonicMs();
		const starts = place({
			waiting: this.#startable(nowMs), workers: this.#openWorkers(nowMs), wallMs: clock.now().getTime(), nowMs, harm: this.#harm,
		});
		if (starts.length === 0) {
			return;
		}

		const byWorker = new Map<FleetWorker, LiveRun[]>();
		for (const {worker, run} of this.#openRuns(starts, nowMs)) {
			byWorker.set(worker, [...(byWorker.get(worker) ?? []), run]);
		}

		for (const [worker, runs] of byWorker) {
			void this.#sendStarts(worker, runs);
		}
	}

	/**
	A task that an earlier owner may have started waits until every agent was heard, or their leases are over. Jobs that
	were taken after the claim cannot have been started by anyone else.
	*/
	* #startable(nowMs: number): Generator<LiveTask> {
		for (const task of this.model.waiting(nowMs)) {
			if (this.#isSettled || task.step.workflow.folded.offset >= this.#claimOffset) {
				yield task;
			}
		}
	}

	* #openWorkers(nowMs: number): Generator<FleetWorker> {
		for (const worker of this.links.workers.values()) {
			const {report, isListed, isAnswering, silentSinceMs, heardAtMs, lostSession, session, blockedUntilMs} = worker;
			if (report && !report.isDraining && isListed && isAnswering && silentSinceMs === undefined && nowMs - heardAtMs < reachableMs
				&& lostSession !== session && blockedUntilMs <= nowMs) {
				yield worker;
			}
		}
	}

	#openRuns(starts: Start[], nowMs: number): Array<{worker: FleetWorker; run: LiveRun}> {
		return starts.map(({task, worker}) => {
			const {step} = task;
			// Members of a gang share the number of their run.
			const lastRun = step.spec.isGang ? Math.max(...step.tasks.map(member => member.runs.length > 0 ? member.lastRun - 1 : member.lastRun)) : task.lastRun;
			return {worker, run: this.#book.open(task, worker, lastRun + 1, {nowMs, notAfterMs: this.links.getNotAfterMs(worker)})};
		});
	}

	async #sendStarts(worker: FleetWorker, runs: LiveRun[]): Promise<void> {
		for (const {task, run, workerId, sentAtMs} of runs) {
			this.#options.note('start', {
				taskId: task.taskId, run, host: worker.host, workerId, waitedMs: Math.round(sentAtMs - task.waitsSinceMs), checkpoint: task.checkpoint === '' ? undefined : task.checkpoint,
			});
		}

		const reply = await this.links.order(worker, runs.map(({task, run}): Order => ({
			type: OrderType.Start,
			start: {
				taskId: task.taskId, run, input: task.step.workflow.spec.input, checkpoint: task.checkpoint,
			},
		})));
		const nowMs = this.#options.clock.monotonicMs();
		for (const [index, run] of runs.entries()) {
			run.isOrderOut = false;
			const answer = reply?.answers[index];
			if (answer) {
				this.#takeStartAnswer(worker, run, answer, {version: reply.version, nowMs});
			}
		}
	}

	#takeStartAnswer(worker: FleetWorker, run: LiveRun, answer: WorkerAnswer, {version, nowMs}: {version: number; nowMs: number}): void {
		if (!run.task.runs.includes(run)) {
			return;
		}

		if (answer.isDone) {
			this.#book.confirm(run, version, nowMs);
			return;
		}

		const {refusal} = answer;
		this.#options.note('start refused', {
			taskId: run.task.taskId, run: run.run, host: worker.host, refusal,
		});
		if (refusal === OrderRefusal.StaleEpoch) {
			this.#depose('an agent refused the epoch');
			return;
		}

		worker.blockedUntilMs = Math.max(worker.blockedUntilMs, nowMs + (refusalPauseMs[refusal!] ?? 0));
		if (refusal !== OrderRefusal.Unanswered) {
			this.#book.withdraw(run, worker, nowMs);
		}
	}

	#takeReply(worker: FleetWorker, reply: WatchReply): void {
		const nowMs = this.#options.clock.monotonicMs();
		if (worker.lostSession !== undefined && worker.session > worker.lostSession) {
			this.#options.note('agent back', {host: worker.host, session: worker.session, lostSession: worker.lostSession});
			worker.lostSession = undefined;
			worker.lostAtMs = undefined;
		}

		const hadRoom = worker.runs.size;
		this.#book.take(worker, reply, nowMs);
		this.#pace(worker, nowMs);
		if (worker.runs.size !== hadRoom || !worker.isListed) {
			this.#wantRound();
		}
	}

	/** Learns from what serving tasks report, and sets the pace of what fills beside them. */
	#pace(worker: FleetWorker, nowMs: number): void {
		const fillers = getFillers(worker.runs, worker.paces, nowMs);
		const servers = getServers(worker.runs);
		const key = fillers.map(({image, cores}) => `${image}:${cores}`).join(' ');
		if (key !== worker.fillKey) {
			worker.fillKey = key;
			worker.fillChangedAtMs = nowMs;
		}

		if (servers.length > 0 && nowMs - worker.fillChangedAtMs >= measuredMs) {
			this.#harm.note(servers, fillers, nowMs);
		}

		for (const [image, percent] of decidePaces(servers, fillers, (server, filler) => this.#harm.getEffect(server, filler))) {
			const before = worker.paces.get(image)?.percent ?? 100;
			this.#options.note('pace', {
				host: worker.host, image, percent, before, worstRatio: Math.max(0, ...servers.map(({ratio}) => ratio)),
			});
			worker.paces.set(image, {percent, changedAtMs: nowMs});
			worker.fillChangedAtMs = nowMs;
		}

		const changed = [...worker.runs].filter(run => run.phase === RunPhase.Running && run.task.step.spec.isFilling && run.pacePercent !== getPace(worker, run));
		if (changed.length > 0) {
			for (const run of changed) {
				run.pacePercent = getPace(worker, run);
			}

			void this.#sendPaces(worker, changed);
		}
	}

	async #sendPaces(worker: FleetWorker, runs: LiveRun[]): Promise<void> {
		const reply = await this.links.order(worker, runs.map(({task, run, pacePercent}): Order => ({
			type: OrderType.Pace, taskId: task.taskId, run, percent: pacePercent!,
		})));
		for (const [index, run] of runs.entries()) {
			if (!reply?.answers[index]?.isDone) {
				// Told again with the next state of the agent.
				run.pacePercent = undefined;
			}
		}
	}

	#noteBegun(task: LiveTask): void {
		const {folded} = task.step.workflow;
		if (!folded.hasBegun) {
			this.#begun.add(folded.workflow.id);
		}
	}

	#sendBegun(): void {
		const nowMs = this.#options.clock.monotonicMs();
		if (this.#begun.size > 0 && nowMs - this.#begunSentAtMs >= begunEveryMs) {
			this.#begunSentAtMs = nowMs;
			const ids = [...this.#begun];
			this.#begun.clear();
			void this.#write(encodeRecord({type: RecordType.Begun, ids}));
		}
	}

	async #storeEnds(ends: EndedRun[]): Promise<boolean> {
		const before = this.#lastStore;
		const write = ends.length === 0 ? before : this.#write(encodeRecord({type: RecordType.Ends, ends}));
		this.#lastStore = Promise.all([before, write]).then(stored => stored.every(Boolean));
		return this.#lastStore;
	}

	async #write(value: Buffer): Promise<boolean> {
		const outcome = await this.#writer.write(value);
		if (outcome === WriteOutcome.Fenced || outcome === WriteOutcome.Unknown) {
			this.#depose('the stream has a newer owner');
		}

		return outcome === WriteOutcome.Stored;
	}

	#finish(folded: FoldedWorkflow): void {
		const workflow = this.model.workflows.get(folded.workflow.id);
		if (workflow) {
			workflow.isOver = true;
			this.#stopOver();
			this.#wantRound();
		}
	}

	/** Stops runs that nobody needs: of jobs that are over, and copies of tasks that are done. */
	#stopOver(): void {
		const nowMs = this.#options.clock.monotonicMs();
		const byWorker = new Map<FleetWorker, LiveRun[]>();
		for (const workflow of this.model.workflows.values()) {
			let count = 0;
			for (const run of getRuns(workflow)) {
				count++;
				const worker = this.links.workers.get(run.host);
				if ((workflow.isOver || run.task.isDone || run.isUnwanted) && worker && run.phase !== RunPhase.Starting && nowMs - run.stopSentAtMs >= stopRetryMs) {
					byWorker.set(worker, [...(byWorker.get(worker) ?? []), run]);
				}
			}

			if (workflow.isOver && count === 0) {
				this.model.drop(workflow);
			}
		}

		for (const [worker, runs] of byWorker) {
			this.stopRuns(worker, runs);
		}
	}

	/** Orders runs to stop; asked again until their ends are listed. */
	stopRuns(worker: FleetWorker, runs: LiveRun[]): void {
		const nowMs = this.#options.clock.monotonicMs();
		for (const run of runs) {
			run.phase = RunPhase.Stopping;
			run.stopSentAtMs = nowMs;
		}

		if (worker.report && worker.silentSinceMs === undefined) {
			void this.links.order(worker, runs.map(({task, run}): Order => ({type: OrderType.Stop, taskId: task.taskId, run})));
		}
	}

	/** What an unknown run takes of its worker is not known: nothing is placed there until it is gone. */
	#stopUnknown(worker: FleetWorker, taskId: string, run: number): void {
		const nowMs = this.#options.clock.monotonicMs();
		worker.blockedUntilMs = Math.max(worker.blockedUntilMs, nowMs + unknownPauseMs);
		if (nowMs - worker.unknownStopAtMs >= stopRetryMs) {
			worker.unknownStopAtMs = nowMs;
			this.#options.note('run not known', {taskId, run, host: worker.host});
			void this.links.order(worker, [{type: OrderType.Stop, taskId, run}]);
		}
	}

	#schedule(workflow: LiveWorkflow): void {
		const {clock} = this.#options;
		const dueAtMs = this.model.openDue(workflow, clock.now().getTime(), clock.monotonicMs());
		if (dueAtMs !== undefined) {
			this.#scheduled.push({dueAtMs, workflow});
		}
	}

	#openDue(): void {
		const wallMs = this.#options.clock.now().getTime();
		const due = this.#scheduled.filter(({dueAtMs}) => dueAtMs <= wallMs);
		if (due.length > 0) {
			this.#scheduled = this.#scheduled.filter(({dueAtMs}) => dueAtMs > wallMs);
			for (const {workflow} of due) {
				this.#schedule(workflow);
			}
		}
	}

	/** Longest time that a lease goes on after the store took a claim or a declaration. */
	#getLeaseOverMs(): number {
		return (this.#options.leaseHorizonMs / (1 - workerClockSlowShare)) + lostSlackMs;
	}

	#checkSettled(): void {
		if (this.#isSettled || !this.links.isRegistryRead) {
			return;
		}

		const nowMs = this.#options.clock.monotonicMs();
		const missing = [...this.links.workers.values()].filter(worker => !worker.isListed);
		if (missing.length === 0 || nowMs - this.#claimedAtMs > this.#getLeaseOverMs()) {
			this.#isSettled = true;
			this.#options.note('settled', {
				tookMs: Math.round(nowMs - this.#claimedAtMs), agents: this.links.workers.size, missing: missing.map(worker => worker.host),
			});
			this.#wantRound();
		}
	}

	#checkLost(): void {
		const nowMs = this.#options.clock.monotonicMs();
		for (const worker of this.links.workers.values()) {
			const {silentSinceMs, lostSession, lostAtMs, runs} = worker;
			const boundMs = runs.size > 0 ? lostAfterMs : removedAfterMs;
			if (silentSinceMs !== undefined && lostSession === undefined && nowMs - silentSinceMs >= boundMs) {
				worker.lostSession = worker.session;
				void this.#declareLost(worker);
			} else if (lostAtMs !== undefined && nowMs - lostAtMs > this.#getLeaseOverMs()) {
				this.#takeLost(worker, nowMs);
			}
		}
	}

	/** The leases of a lost agent are over. It may have registered anew meanwhile, without being reached yet. */
	#takeLost(worker: FleetWorker, nowMs: number): void {
		this.#book.loseAll(worker, LossReason.AgentLost, nowMs);
		if (worker.session > worker.lostSession!) {
			worker.lostSession = undefined;
			worker.lostAtMs = undefined;
		} else if (worker.silentSinceMs !== undefined) {
			this.links.workers.delete(worker.host);
			void this.#removeRegistration(worker);
		}
	}

	/** The declaration is in the store before the leases are waited out: the agent reads it, or proves nothing more. */
	async #declareLost(worker: FleetWorker): Promise<void> {
		const {store, partition, epoch, clock, note} = this.#options;
		const {host, session} = worker;
		note('agent lost', {host, session, runs: worker.runs.size});
		while (!this.#aborter.signal.aborted && worker.lostSession === session) {
			try {
				const result = await store.append({topic: controlTopic, partition}, [encodeControl({
					type: ControlType.Lost, host, session, epoch,
				})], {timeoutMs: 1000});
				if (result.outcome === AppendOutcome.Appended) {
					worker.lostAtMs = clock.monotonicMs();
					return;
				}
			} catch (error) {
				note('loss not stored', {host, error: getMessage(error)});
			}

			await clock.sleep(claimRetryMs, this.#aborter.signal);
		}
	}

	/** Without the registration a later owner need not wait for this agent. Nothing is removed that changed meanwhile. */
	async #removeRegistration(worker: FleetWorker): Promise<void> {
		const {store, note} = this.#options;
		const ref = {topic: agentsTopic, partition: 0};
		try {
			const {records, endOffset} = await store.newest(ref);
			if (records.some(record => record.key === worker.host && record.offset === worker.session)) {
				const result = await store.appendKeyed(ref, [{key: worker.host}], {atOffset: endOffset, timeoutMs: 1000});
				note('registration removed', {host: worker.host, outcome: result.outcome});
			}
		} catch (error) {
			note('registration not removed', {host: worker.host, error: getMessage(error)});
		}
	}
}
