/**
Owner of the jobs of one partition: takes the partition over, watches the agents of the workers, and starts, restarts
and stops tasks.
*/
import {registrationsRef} from '../agents/registration-writes.ts';
import {runsPerEpoch} from '../core/record-limits.ts';
import {Feature} from '../core/site-features.ts';
import {type WatchReply} from '../types/fleet.ts';
import {type TaskRef} from '../types/workflows.ts';
import {createAborter} from '../utils/aborter.ts';
import {WorkMeter} from '../utils/work-meter.ts';
import {AdviceCache} from './advice-cache.ts';
import {AgentLinks} from './agent-links.ts';
import {ControlWriter} from './control-writer.ts';
import {CrashMonitor} from './crash-monitor.ts';
import {DueOccurrences} from './due-occurrences.ts';
import {createFoldListener} from './fold-listener.ts';
import {EvacuationPublisher} from './evacuation-publisher.ts';
import {BestEffortInterference} from './best-effort-interference.ts';
import {type FleetWorker} from './fleet-view.ts';
import {isFinal, type FoldedWorkflow} from './folded-workflow.ts';
import {getTotalCapacity} from './job-objective.ts';
import {getRunService} from './job-places.ts';
import {IncompleteGangs} from './incomplete-gangs.ts';
import {JobTransfers} from './job-transfers.ts';
import {LiveModel, type LiveTask} from './live-model.ts';
import {AgentLossMonitor} from './agent-loss-monitor.ts';
import {createForecastPublisher} from './forecast-publisher.ts';
import {OrderSender} from './order-sender.ts';
import {OrderWindow} from './order-window.ts';
import {OwnerLog} from './owner-log.ts';
import {type OwnerOptions} from './owner-options.ts';
import {ThrottleController} from './throttle-controller.ts';
import {Mechanism} from './policy.ts';
import {isQuarantined} from './quarantine.ts';
import {wantsCopy} from './relocation.ts';
import {SchedulingCycles} from './scheduling-cycles.ts';
import {RegistrationRemover} from './registration-remover.ts';
import {RunTimes} from './run-times.ts';
import {RunMover} from './run-mover.ts';
import {RunTracker} from './run-tracker.ts';
import {Reconciliation} from './reconciliation.ts';
import {ServicePools} from './service-pools.ts';
import {type IsAllowed} from './step-placement.ts';
import {StartEligibility} from './start-eligibility.ts';
import {describeFinishedJob} from './task-order.ts';
import {ViewStaleness} from './view-staleness.ts';

/** Interval of the periodic checks, which react to the passing of time alone. */
const checkIntervalMs = 50;

/** Runs the jobs of one partition while it holds the newest epoch. */
export class Owner {
	readonly model: LiveModel;
	readonly links: AgentLinks;
	readonly #options: OwnerOptions;
	readonly #runs: RunTracker;
	readonly #log: OwnerLog;
	readonly #sender: OrderSender;
	readonly #losses: AgentLossMonitor;
	readonly #crashes: CrashMonitor;
	readonly #throttleController: ThrottleController;
	readonly #advice: AdviceCache;
	readonly #isAllowed: IsAllowed;
	readonly #cycles: SchedulingCycles;
	readonly #interference = new BestEffortInterference();
	readonly #runTimes: RunTimes;
	readonly #pools: ServicePools;
	readonly #aborter = createAborter();
	readonly #meter: WorkMeter;
	readonly #viewStaleness: ViewStaleness;
	readonly #dueOccurrences: DueOccurrences;
	readonly #reconciliation: Reconciliation;
	readonly #eligibility: StartEligibility;
	readonly #evacuationPublisher: EvacuationPublisher;
	readonly #mover: RunMover;
	readonly #transfers: JobTransfers;

	constructor(options: OwnerOptions) {
		const {clock, epoch, note, follower, policy} = options;
		const model = new LiveModel(folded => getRunService(folded, options));
		this.model = model;
		this.#options = options;
		this.#meter = new WorkMeter(clock, times => {
			note('owner work', {jobs: model.workflows.size, ...times});
		});
		this.#viewStaleness = new ViewStaleness(options);
		this.#dueOccurrences = new DueOccurrences(model, clock);
		this.#evacuationPublisher = new EvacuationPublisher({...options, describeHolds: domain => this.#mover.describeHolds(domain)});
		this.#runTimes = new RunTimes(policy[Mechanism.RunTimes], options.features[Feature.RunTimeTails]);
		this.#log = new OwnerLog({
			...options, onFenced: () => {
				this.#stepDown('the stream has a newer owner');
			},
		});
		this.#transfers = new JobTransfers(options, this.#log);
		this.links = new AgentLinks({
			...options,
			registrations: registrationsRef,
			getStoredLoss: host => follower.fold.losses.get(host),
			getCaughtUpAtMs: () => follower.fold.epoch === epoch ? follower.caughtUpAtMs : Number.NEGATIVE_INFINITY,
			onReply: (worker, reply) => {
				this.#meter.measure('reply', () => {
					this.#handleReply(worker, reply);
				});
			},
			getStoredDeparture: host => follower.fold.departures.get(host),
			onDeparture: ({host, session}) => {
				void this.#log.storeDeparture(host, session);
			},
			onLastState: (worker, state) => {
				this.#runs.applyReply(worker, state, clock.monotonicMs());
			},
			onRemoved: worker => {
				this.#losses.handleRemoval(worker);
			},
			onSuperseded: newerEpoch => {
				this.#stepDown(`an agent knows epoch ${newerEpoch}`);
			},
		});
		const requestCycle = () => {
			this.#cycles.requestCycle();
		};

		this.#reconciliation = new Reconciliation({
			...options, links: this.links, describeHeldTasks: () => this.#eligibility.describeHeldTasks(), onReconciled: requestCycle,
		});
		this.#eligibility = new StartEligibility({
			...options, model, reconciliation: this.#reconciliation, viewStaleness: this.#viewStaleness,
		});
		this.#runs = this.#createRunTracker(requestCycle);
		const shared = {
			clock, note, model, links: this.links, tracker: this.#runs,
		};
		this.#advice = new AdviceCache({...options, client: options.adviceClient, onAdvice: requestCycle});
		this.#isAllowed = (step, workerId) => !step.workflow.spec.needsAdvice || this.#advice.getTicket(step, workerId) !== undefined;
		const window = new OrderWindow(clock);
		const pools = new ServicePools({
			...options,
			fleets: this.links.fleets,
			times: this.#runTimes,
			createForecasts: ({service, workers}) => createForecastPublisher(options, {
				service, model, times: this.#runTimes, getWorkers: () => workers.values(), isFleetKnown: () => this.links.isRegistryRead && this.#eligibility.isReconciled, store: async forecast => this.#log.storeForecast(forecast),
			}),
		});
		this.#pools = pools;
		this.#crashes = new CrashMonitor({
			clock,
			note,
			tracker: this.#runs,
			getTask: ref => this.#findTask(ref),
			store: async crashes => this.#log.storeCrashes(crashes),
			onLikelyCause(worker, task) {
				pools.get(worker.service).health.recordEnd(worker, task, false);
			},
			onCrashLimit: task => {
				this.#failJob(task);
			},
		});
		this.#cycles = new SchedulingCycles({
			clock,
			note,
			policy,
			meter: this.#meter,
			signal: this.#aborter.signal,
			model: this.model,
			interference: this.#interference,
			times: this.#runTimes,
			isAllowed: this.#isAllowed,
			pools,
			window,
			getWaiting: nowMs => this.#getStartableTasks(nowMs),
			getRuns: () => [...this.links.workers.values()].flatMap(worker => [...worker.runs]),
			getStartDelayMs: () => this.#sender.startDelayMs,
			onStarts: starts => {
				for (const start of starts) {
					pools.get(start.worker.service).slowWorkers.noteCopies([start], clock.monotonicMs());
				}

				this.#sender.start(starts);
			},
		});
		this.#sender = new OrderSender({
			...shared, window, incompleteGangs: new IncompleteGangs({...options, getWorker: host => this.links.workers.get(host), mayStart: task => this.#eligibility.mayStartAny() && this.#eligibility.mayStart(task)}), onAnswered: () => {
				this.#cycles.handleStartsAnswered();
			}, getTicket: (step, workerId) => this.#advice.getTicket(step, workerId), mayRepeatStop: (run, nowMs) => this.#mover.budget.mayRepeatStop(run, nowMs), getStartValidityMs: () => this.#viewStaleness.getStartValidityMs(), onStaleEpoch: () => {
				this.#stepDown('an agent refused the epoch');
			},
		});
		const {signal} = this.#aborter;
		this.#losses = new AgentLossMonitor({
			...options, tracker: this.#runs, fleets: this.links.fleets, signal, storeLoss: async (host, session) => this.#log.storeLoss(host, session), remover: new RegistrationRemover({...options, signal}), control: new ControlWriter(options), onFenced: () => {
				this.#stepDown('the control stream has a newer owner');
			},
		});
		this.#mover = new RunMover({
			...options, ...shared, times: this.#runTimes, sender: this.#sender, eligibility: this.#eligibility, pools, interference: this.#interference, isAllowed: this.#isAllowed,
			reconciliation: this.#reconciliation, viewStaleness: this.#viewStaleness, getWaiting: nowMs => this.#getStartableTasks(nowMs),
		});
		this.#throttleController = new ThrottleController({...shared, interference: this.#interference});
	}

	/** Claims the partition and runs its jobs until stopped or superseded by a newer owner. */
	async run(): Promise<void> {
		const {signal} = this.#aborter;
		const {follower, clock, note, epoch, partition, policy} = this.#options;
		const claimOffset = await this.#log.claim(signal);
		if (claimOffset === undefined || signal.aborted || follower.fold.epoch > epoch) {
			this.#stepDown('the claim is fenced');
			return;
		}

		this.#eligibility.recordClaim(claimOffset);
		this.#reconciliation.start();
		if (policy[Mechanism.InterferenceHandover]) {
			this.#interference.restore(follower.fold.interferencePairs, clock.monotonicMs());
		}

		this.model.load(follower.fold, clock.now().getTime(), clock.monotonicMs(), epoch * runsPerEpoch, folded => !this.#transfers.add(folded));
		follower.fold.listener = createFoldListener({
			...this.#options,
			model: this.model,
			dueOccurrences: this.#dueOccurrences,
			transfer: folded => this.#transfers.add(folded),
			onAdded: () => {
				this.#cycles.requestCycle();
			},
			onFinished: folded => {
				this.#finishWorkflow(folded);
			},
			stepDown: reason => {
				this.#stepDown(reason);
			},
		});
		for (const workflow of this.model.workflows.values()) {
			this.#dueOccurrences.schedule(workflow);
		}

		note('took over', {partition, epoch, jobs: this.model.workflows.size});
		await Promise.all([this.links.run(signal), this.#runPeriodically(signal)]);
	}

	/** Stops at once; active runs continue under their leases. */
	stop(): void {
		this.#aborter.abort();
		this.#options.follower.fold.listener = undefined;
	}

	#stepDown(reason: string): void {
		if (!this.#aborter.signal.aborted) {
			this.#options.note('deposed', {partition: this.#options.partition, epoch: this.#options.epoch, reason});
			this.stop();
			this.#options.onSuperseded();
		}
	}

	#createRunTracker(onChange: () => void): RunTracker {
		const {note} = this.#options;
		return new RunTracker(this.model, {
			storeEnds: async ends => this.#log.storeEnds(ends),
			onStarted: ({step: {workflow: {folded}}}) => {
				if (!folded.hasBegun) {
					this.#log.recordStarted(folded.workflow.id);
				}
			},
			findFinishedTask: ref => this.#findTask(ref),
			onUnknownRun: (worker, taskId, run) => {
				this.#sender.stopUnknownRun(worker, taskId, run);
			},
			onProgress: run => {
				if (!run.wasCold) {
					this.#runTimes.observe(run, {isDone: false});
				}
			},
			onOutcome: (worker, run, isSuccess) => {
				const {task} = run;
				if (isSuccess) {
					worker.hasSucceededSinceCrash = true;
					if (!run.wasCold) {
						this.#runTimes.observe(run, {isDone: true});
					}
				} else {
					task.avoidedHosts.add(worker.host);
				}

				this.#pools.get(worker.service).health.recordEnd(worker, task, isSuccess);
				if (!isSuccess && !worker.health.isHeld) {
					this.#runTimes.observeFailure(run);
				}
			},
			onAttemptsExhausted: task => {
				this.#failJob(task);
			},
			onChange,
			note,
		});
	}

	#failJob({ref, taskId, failedRuns, crashes, step: {workflow}}: LiveTask): void {
		this.#options.note('job failed', {
			id: ref.workflowId, taskId, failures: failedRuns.size, crashes: crashes.length,
		});
		workflow.isFinished = true;
	}

	async #runPeriodically(signal: AbortSignal): Promise<void> {
		const {clock} = this.#options;
		while (!signal.aborted) {
			this.#meter.measure('tick', () => {
				this.#runPeriodicChecks();
			});
			await clock.sleep(checkIntervalMs, signal);
		}
	}

	#runPeriodicChecks(): void {
		const {policy} = this.#options;
		this.#dueOccurrences.openDueOccurrences();
		this.#reconciliation.check();
		this.#losses.check();
		this.#evacuationPublisher.update(this.links.workers.values());
		this.#sender.stopUnneededRuns();
		this.#transfers.update();
		this.#log.sendStarted();
		this.#log.writeSnapshots();
		if (policy[Mechanism.RunCheckpoints]) {
			this.#log.storeCheckpoints(() => this.model.takeUnstoredCheckpoints());
		}

		this.#log.storeInterference(() => this.#interference.getPairs());
		this.#advice.update(this.model.getOpenSteps(), service => this.links.fleets.get(service).values());
		this.#mover.tryMove();
		this.#pools.update();
		this.#cycles.requestCycle();
	}

	* #getStartableTasks(nowMs: number): Generator<LiveTask> {
		if (!this.#eligibility.mayStartAny()) {
			return;
		}

		for (const task of this.model.getWaitingTasks(nowMs, task => this.#options.policy[Mechanism.StallMoves] && !isQuarantined(task) && wantsCopy(task, nowMs, this.#runTimes))) {
			if (this.#eligibility.mayStart(task)) {
				yield task;
			}
		}
	}

	#handleReply(worker: FleetWorker, reply: WatchReply): void {
		const nowMs = this.#options.clock.monotonicMs();
		this.#losses.readmit(worker);
		this.#crashes.handleReply(worker, reply, nowMs);
		const runsBefore = worker.runs.size;
		this.#runs.applyReply(worker, reply, nowMs);
		this.#throttleController.handleState(worker);
		if (worker.runs.size !== runsBefore || !worker.isListed) {
			this.#cycles.requestCycle();
		}
	}

	/** Finds a task; loads the job into the model again if it has finished, for a run of it that is still active. */
	#findTask(ref: TaskRef): LiveTask | undefined {
		const {follower, clock} = this.#options;
		const folded = follower.fold.workflows.get(ref.workflowId);
		if (folded && isFinal(folded.state)) {
			this.model.addFinished(folded, clock.now().getTime(), clock.monotonicMs());
		}

		return this.model.getTask(ref);
	}

	#finishWorkflow(folded: FoldedWorkflow): void {
		const workflow = this.model.workflows.get(folded.workflow.id);
		if (workflow) {
			const pool = this.#pools.get(workflow.service);
			pool.forecasts?.recordEnd(workflow);
			this.#options.note('job over', describeFinishedJob(workflow, this.#runTimes, {nowMs: this.#options.clock.monotonicMs(), capacity: getTotalCapacity(pool.workers.values())}));
			workflow.isFinished = true;
			this.#sender.stopUnneededRuns();
			this.#cycles.requestCycle();
		}
	}
}
