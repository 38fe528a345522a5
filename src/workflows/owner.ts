/**
The owner of the jobs of one partition: takes them over, keeps in touch with the agents of their workers, and starts,
restarts and stops tasks.
*/
import {agentsTopic} from '../agents/control-records.ts';
import {WorkerHealth, type HealthSubject} from '../jobs/worker-health.ts';
import {type WatchReply} from '../types/fleet.ts';
import {type TaskRef} from '../types/workflows.ts';
import {createAborter} from '../utils/aborter.ts';
import {DutyCycle} from '../utils/duty-cycle.ts';
import {WorkMeter} from '../utils/work-meter.ts';
import {AdviceCache} from './advice-cache.ts';
import {AgentLinks} from './agent-links.ts';
import {CrashWatch} from './crash-watch.ts';
import {DueOccurrences} from './due-occurrences.ts';
import {EvacuationPublisher} from './evacuation-publisher.ts';
import {FillHarm} from './fill-harm.ts';
import {type FleetWorker} from './fleet-view.ts';
import {isFinal, type FoldedWorkflow} from './fold.ts';
import {type WorkflowFollower} from './follower.ts';
import {LiveModel, type LiveTask} from './live-model.ts';
import {LossWatch} from './loss-watch.ts';
import {getOpenWorkers} from './open-workers.ts';
import {OrderSender} from './order-sender.ts';
import {OwnerLog} from './owner-log.ts';
import {type OwnerOptions} from './owner-options.ts';
import {PaceKeeper} from './pace-keeper.ts';
import {createPlaceFinder} from './placement.ts';
import {Mechanism} from './policy.ts';
import {isKeptApart, Quarantine} from './quarantine.ts';
import {chooseMoves, wantsCopy} from './relocation.ts';
import {SchedulingCycles} from './scheduling-cycles.ts';
import {RunTimes} from './run-times.ts';
import {RunTracker} from './run-tracker.ts';
import {Settling} from './settling.ts';
import {type IsAllowed} from './step-places.ts';
import {describeEnd} from './task-order.ts';
import {ViewAge} from './view-age.ts';

/** Things that depend on time alone are looked at this often. */
const tickMs = 50;
/** Caps the search for runs to move at a twentieth of the thread: each takes about as long as a cycle. */
const relocationRestFactor = 19;
/** A worker that fails what others do well is tried again after this, then after twice as long. */
const heldDownMs = 1000;

/** The owner. */
export class Owner {
	readonly model = new LiveModel();
	readonly links: AgentLinks;
	readonly #options: OwnerOptions;
	readonly #runs: RunTracker;
	readonly #log: OwnerLog;
	readonly #sender: OrderSender;
	readonly #losses: LossWatch;
	readonly #crashes: CrashWatch;
	readonly #quarantine: Quarantine;
	readonly #paces: PaceKeeper;
	readonly #advice: AdviceCache;
	readonly #isAllowed: IsAllowed;
	readonly #cycles: SchedulingCycles;
	readonly #harm = new FillHarm();
	readonly #times: RunTimes;
	readonly #aborter = createAborter();
	readonly #meter: WorkMeter;
	readonly #view: ViewAge;
	readonly #due: DueOccurrences;
	readonly #settling: Settling;
	readonly #evacuationPublisher: EvacuationPublisher;
	readonly #relocations: DutyCycle;
	readonly #health = new WorkerHealth<HealthSubject>({maxTries: 1, holdMs: heldDownMs});
	#claimOffset = Number.POSITIVE_INFINITY;

	constructor(options: OwnerOptions) {
		const {clock, epoch, note, follower, policy} = options;
		const {model} = this;
		this.#options = options;
		this.#meter = new WorkMeter(clock, times => {
			note('owner work', {jobs: model.workflows.size, ...times});
		});
		this.#view = new ViewAge(options);
		this.#due = new DueOccurrences(model, clock);
		this.#relocations = new DutyCycle(clock, relocationRestFactor);
		this.#evacuationPublisher = new EvacuationPublisher(options);
		this.#times = new RunTimes(policy[Mechanism.RunTimes]);
		this.#log = new OwnerLog({
			...options, onFenced: () => {
				this.#depose('the stream has a newer owner');
			},
		});
		this.links = new AgentLinks({
			...options,
			registrations: {topic: agentsTopic, partition: 0},
			getProvenAtMs: () => follower.fold.epoch === epoch ? follower.provenAtMs : Number.NEGATIVE_INFINITY,
			onReply: (worker, reply) => {
				this.#meter.measure('reply', () => {
					this.#takeReply(worker, reply);
				});
			},
			onDeposed: newerEpoch => {
				this.#depose(`an agent knows epoch ${newerEpoch}`);
			},
		});
		const requestCycle = () => {
			this.#cycles.requestCycle();
		};

		this.#settling = new Settling({...options, links: this.links, onSettled: requestCycle});
		this.#runs = this.#createRunTracker(requestCycle);
		const shared = {
			clock, note, model, links: this.links, tracker: this.#runs,
		};
		this.#advice = new AdviceCache({...options, client: options.adviceClient, onAdvice: requestCycle});
		this.#isAllowed = (step, workerId) => !step.workflow.spec.needsAdvice || this.#advice.getTicket(step, workerId) !== undefined;
		this.#quarantine = new Quarantine({workers: this.links.workers, note});
		this.#crashes = new CrashWatch({
			clock,
			note,
			tracker: this.#runs,
			getTask: ref => this.#recall(ref),
			store: async crashes => this.#log.storeCrashes(crashes),
			onCulprit: (worker, task) => {
				this.#noteHealth(worker, task, false);
			},
			onGivenUp: task => {
				this.#giveUp(task);
			},
		});
		this.#cycles = new SchedulingCycles({
			clock,
			note,
			policy,
			meter: this.#meter,
			signal: this.#aborter.signal,
			model: this.model,
			harm: this.#harm,
			times: this.#times,
			isAllowed: this.#isAllowed,
			quarantine: this.#quarantine,
			getWaiting: nowMs => this.#startable(nowMs),
			getWorkers: nowMs => this.#getOpenWorkers(nowMs),
			getRuns: () => [...this.links.workers.values()].flatMap(worker => [...worker.runs]),
			getLeadMs: () => this.#sender.leadMs,
			onStarts: starts => {
				this.#sender.start(starts);
			},
		});
		this.#sender = new OrderSender({
			...shared, getTicket: (step, workerId) => this.#advice.getTicket(step, workerId), getStartGoodMs: () => this.#view.getStartGoodMs(), onStaleEpoch: () => {
				this.#depose('an agent refused the epoch');
			},
		});
		this.#losses = new LossWatch({
			...options, tracker: this.#runs, workers: this.links.workers, signal: this.#aborter.signal,
		});
		this.#paces = new PaceKeeper({...shared, harm: this.#harm});
	}

	/** Takes the partition over and runs it until stopped or deposed. */
	async run(): Promise<void> {
		const {signal} = this.#aborter;
		const {follower, clock, note, epoch, partition, policy} = this.#options;
		const claimOffset = await this.#log.claim(signal);
		if (claimOffset === undefined || signal.aborted) {
			this.#depose('the claim is fenced');
			return;
		}

		this.#claimOffset = claimOffset;
		this.#settling.begin();
		if (policy[Mechanism.HarmHandover]) {
			this.#harm.restore(follower.fold.harm, clock.monotonicMs());
		}

		this.model.load(follower.fold, clock.now().getTime(), clock.monotonicMs());
		this.#listen(follower);
		for (const workflow of this.model.workflows.values()) {
			this.#due.schedule(workflow);
		}

		note('took over', {partition, epoch, jobs: this.model.workflows.size});
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

	#createRunTracker(onChange: () => void): RunTracker {
		const {note} = this.#options;
		return new RunTracker(this.model, {
			store: async ends => this.#log.storeEnds(ends),
			onBegun: ({step: {workflow: {folded}}}) => {
				if (!folded.hasBegun) {
					this.#log.noteBegun(folded.workflow.id);
				}
			},
			recall: ref => this.#recall(ref),
			onUnknown: (worker, taskId, run) => {
				this.#sender.stopUnknown(worker, taskId, run);
			},
			onProgress: run => {
				this.#times.note(run, {isDone: false});
			},
			onOutcome: (worker, run, isSuccess) => {
				const {task} = run;
				if (isSuccess) {
					worker.isProven = true;
					this.#times.note(run, {isDone: true});
				} else {
					task.avoidedHosts.add(worker.host);
				}

				this.#noteHealth(worker, task, isSuccess);
			},
			onExhausted: task => {
				this.#giveUp(task);
			},
			onChange,
			note,
		});
	}

	#noteHealth({host, health}: FleetWorker, {ref}: LiveTask, isSuccess: boolean): void {
		const {clock, note} = this.#options;
		const isChanged = this.#health.note({
			jobId: ref.workflowId, worker: health, isSuccess, nowMs: clock.monotonicMs(), fleetSize: this.links.workers.size,
		});
		if (isChanged) {
			note('worker health', {host, isHeld: health.isHeld, isProbing: health.isProbing});
		}
	}

	#giveUp({ref, taskId, failedRuns, crashes, step: {workflow}}: LiveTask): void {
		this.#options.note('job failed', {
			id: ref.workflowId, taskId, failures: failedRuns.size, crashes: crashes.length,
		});
		workflow.isOver = true;
	}

	#listen(follower: WorkflowFollower): void {
		const {clock, note, epoch} = this.#options;
		follower.fold.listener = {
			onSubmit: folded => {
				const {workflow, offset} = folded;
				note('job taken', {
					id: workflow.id, offset, queue: workflow.queue, steps: workflow.steps.map(step => step.count), ageMs: clock.now().getTime() - workflow.receivedAtMs,
				});
				const nowMs = clock.monotonicMs();
				// It came after the last read that showed the end of the stream.
				this.#due.schedule(this.model.add(folded, clock.now().getTime(), nowMs, nowMs - follower.provenAtMs));
				this.#cycles.requestCycle();
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
	}

	async #tick(signal: AbortSignal): Promise<void> {
		const {clock} = this.#options;
		while (!signal.aborted) {
			this.#meter.measure('tick', () => {
				this.#look();
			});
			await clock.sleep(tickMs, signal);
		}
	}

	#look(): void {
		const {clock, policy} = this.#options;
		this.#due.open();
		this.#settling.check();
		this.#losses.check();
		this.#evacuationPublisher.update(this.links.workers.values());
		this.#sender.stopUnneeded();
		this.#log.sendBegun();
		this.#log.rewrite();
		if (policy[Mechanism.SavedRuns]) {
			this.#log.keepSaved(() => this.model.takeUnstored());
		}

		this.#log.keepHarm(() => this.#harm.getPairs());
		this.#advice.update(this.model.openSteps(), this.links.workers.values());
		this.#relocations.tryRun(() => {
			this.#relocate();
		});
		this.#health.release(clock.monotonicMs());
		this.#cycles.requestCycle();
	}

	/** Jobs that were taken after the claim cannot have been started by anyone else. */
	* #startable(nowMs: number): Generator<LiveTask> {
		if (this.#view.isTooOld()) {
			return;
		}

		for (const task of this.model.waiting(nowMs, task => this.#options.policy[Mechanism.StallMoves] && !isKeptApart(task) && wantsCopy(task, nowMs))) {
			if (this.#settling.isSettled || task.step.workflow.folded.offset >= this.#claimOffset) {
				yield task;
			}
		}
	}

	#getOpenWorkers(nowMs: number): FleetWorker[] {
		const {policy, getEvacuations} = this.#options;
		return getOpenWorkers(this.links.workers.values(), {nowMs, policy, evacuated: getEvacuations().failureDomains});
	}

	/** Moves what stands still, and what may not work where it is. */
	#relocate(): void {
		const {clock, policy} = this.#options;
		const nowMs = clock.monotonicMs();
		const moves = chooseMoves({
			workers: this.links.workers.values(), nowMs, policy, hasPlace: createPlaceFinder(this.#getOpenWorkers(nowMs).filter(worker => !this.#quarantine.isClosed(worker)), {harm: this.#harm, isAllowed: this.#isAllowed, policy}),
		});
		for (const {worker, run} of moves) {
			this.#options.note('run moved', {
				taskId: run.task.taskId, run: run.run, host: worker.host, percent: run.percent, pacePercent: run.pacePercent,
			});
			this.#sender.stop(worker, [run]);
		}
	}

	#takeReply(worker: FleetWorker, reply: WatchReply): void {
		const nowMs = this.#options.clock.monotonicMs();
		this.#losses.readmit(worker);
		this.#crashes.take(worker, reply, nowMs);
		const runsBefore = worker.runs.size;
		this.#runs.take(worker, reply, nowMs);
		this.#paces.take(worker);
		if (worker.runs.size !== runsBefore || !worker.isListed) {
			this.#cycles.requestCycle();
		}
	}

	/** Finds a task of a job that is over, for a run of it that is still out. */
	#recall(ref: TaskRef): LiveTask | undefined {
		const {follower, clock} = this.#options;
		const folded = follower.fold.workflows.get(ref.workflowId);
		if (folded && isFinal(folded.state)) {
			this.model.recall(folded, clock.now().getTime(), clock.monotonicMs());
		}

		return this.model.getTask(ref);
	}

	#finish(folded: FoldedWorkflow): void {
		const workflow = this.model.workflows.get(folded.workflow.id);
		if (workflow) {
			this.#options.note('job over', describeEnd(workflow, this.#times, this.#options.clock.monotonicMs()));
			workflow.isOver = true;
			this.#sender.stopUnneeded();
			this.#cycles.requestCycle();
		}
	}
}
