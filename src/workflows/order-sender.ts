/**
Sends the owner's orders to agents and handles the answers: starts, and stops that are repeated until the ends are listed.
*/
import {type Clock} from '../types/clock.ts';
import {
	OrderRefusal, OrderType, type Order, type OrderedStart, type OrdersReply, type WorkerAnswer,
} from '../types/fleet.ts';
import {type AgentLinks} from './agent-links.ts';
import {type FleetWorker} from './fleet-view.ts';
import {type IncompleteGangs} from './incomplete-gangs.ts';
import {
	RunPhase, type LiveModel, type LiveRun, type LiveStep, type LiveTask,
} from './live-model.ts';
import {getOrderBytes, type OrderWindow} from './order-window.ts';
import {type Start} from './placement.ts';
import {type RunTracker} from './run-tracker.ts';

/** Options of the sender. */
export type OrderSenderOptions = {
	clock: Clock;
	links: AgentLinks;
	tracker: RunTracker;
	model: LiveModel;
	window: OrderWindow;
	incompleteGangs: Pick<IncompleteGangs, 'has'>;
	/** Whether a stop without effect may be ordered again. */
	mayRepeatStop: (run: LiveRun, nowMs: number) => boolean;
	getTicket: (step: LiveStep, workerId: string) => string | undefined;
	/** How long a start that is ordered now may stay valid. */
	getStartValidityMs: () => number;
	/** An agent knows a newer owner. */
	onStaleEpoch: () => void;
	/** Starts were answered: others may be decided. */
	onAnswered: () => void;
	note: (event: string, fields: Record<string, unknown>) => void;
};

/** Weight of the newest start in the mean start delay. */
const delayWeight = 0.1;
/** A stop is ordered again after this if its end is not listed: longer than a worker takes to stop a run. */
const stopRetryMs = 700;
/** Pause of a worker with an unknown run: longer than the time between two listings. */
const unknownPauseMs = 1000;
/** Pauses of a worker after a refusal, by how soon its reason may have changed. */
const refusalPauseMs: Partial<Record<OrderRefusal, number>> = {
	[OrderRefusal.NoCapacity]: 300,
	[OrderRefusal.Unhealthy]: 1000,
	[OrderRefusal.NoLease]: 200,
	[OrderRefusal.Unanswered]: 500,
	[OrderRefusal.Draining]: 1000,
	[OrderRefusal.Evacuated]: 500,
	// The agent's registration, which tells its service, is read within this.
	[OrderRefusal.OtherService]: 1000,
};

/** Sends the orders of one owner. */
export class OrderSender {
	readonly #options: OrderSenderOptions;
	#startDelayMs = 0;

	constructor(options: OrderSenderOptions) {
		this.#options = options;
	}

	/** Moving average of the time from the decision of a start to the agent's answer. */
	get startDelayMs(): number {
		return this.#startDelayMs;
	}

	/** Orders starts that were decided. */
	start(starts: Start[]): void {
		const {tracker, links, clock, getStartValidityMs} = this.#options;
		const nowMs = clock.monotonicMs();
		const validityMs = getStartValidityMs();
		const byWorker = new Map<FleetWorker, {runs: LiveRun[]; notAfterMs: number}>();
		for (const {task, worker} of starts) {
			// The run and its order have the same expiry: with a later one in the order the run could begin after it was considered lost.
			const orders = byWorker.get(worker) ?? {runs: [], notAfterMs: links.getNotAfterMs(worker, validityMs)};
			byWorker.set(worker, orders);
			orders.runs.push(tracker.addRun(task, worker, getLastRun(task) + 1, {nowMs, notAfterMs: orders.notAfterMs}));
		}

		for (const [worker, {runs, notAfterMs}] of byWorker) {
			void this.#sendStarts(worker, runs, notAfterMs);
		}
	}

	/** Stops runs of finished jobs, copies of tasks that are done, members of incomplete gangs, and other unneeded runs; drops finished jobs. */
	stopUnneededRuns(): void {
		const {links, model, clock, incompleteGangs, mayRepeatStop} = this.#options;
		const nowMs = clock.monotonicMs();
		for (const worker of links.workers.values()) {
			const unneeded = [...worker.runs].filter(run => {
				const {phase, task, isUnwanted, stopOrderedAtMs} = run;
				const isNeeded = !task.step.workflow.isFinished && !task.isDone && !isUnwanted && !incompleteGangs.has(run);
				return phase !== RunPhase.Starting && nowMs - stopOrderedAtMs >= stopRetryMs
					&& (!isNeeded || (phase === RunPhase.Stopping && mayRepeatStop(run, nowMs)));
			});
			if (unneeded.length > 0) {
				this.#noteUnneeded(worker, unneeded);
				this.stop(worker, unneeded);
			}
		}

		model.dropFinished();
	}

	/** Orders runs to stop; `stopUnneededRuns` repeats the order until their ends are listed. */
	stop(worker: FleetWorker, runs: LiveRun[]): void {
		const nowMs = this.#options.clock.monotonicMs();
		for (const run of runs) {
			run.phase = RunPhase.Stopping;
			run.stopOrderedAtMs = nowMs;
		}

		if (worker.report && worker.unresponsiveSinceMs === undefined) {
			void this.#options.links.order(worker, runs.map(({task, run}): Order => ({type: OrderType.Stop, taskId: task.taskId, run})));
		}
	}

	/** Stops a run of an unknown task. Nothing is placed on its worker meanwhile, because the capacity that it uses is unknown. */
	stopUnknownRun(worker: FleetWorker, taskId: string, run: number): void {
		const {clock, links, note} = this.#options;
		const nowMs = clock.monotonicMs();
		worker.blockedUntilMs = Math.max(worker.blockedUntilMs, nowMs + unknownPauseMs);
		if (nowMs - worker.unknownRunStopAtMs >= stopRetryMs) {
			worker.unknownRunStopAtMs = nowMs;
			note('run not known', {taskId, run, host: worker.host});
			void links.order(worker, [{type: OrderType.Stop, taskId, run}]);
		}
	}

	/** Logs why runs are stopped that nothing was ordered for yet. */
	#noteUnneeded(worker: FleetWorker, unneeded: LiveRun[]): void {
		for (const {phase, task, run, isUnwanted} of unneeded) {
			if (phase !== RunPhase.Stopping) {
				this.#options.note('run not needed', {
					taskId: task.taskId, run, host: worker.host, isJobFinished: task.step.workflow.isFinished, isTaskDone: task.isDone, isUnwanted,
				});
			}
		}
	}

	async #sendStarts(worker: FleetWorker, runs: LiveRun[], notAfterMs: number): Promise<void> {
		const {links, clock, note, window, onAnswered} = this.#options;
		for (const {task, run, workerId, orderedAtMs} of runs) {
			note('start', {
				taskId: task.taskId, run, host: worker.host, workerId, waitedMs: Math.round(orderedAtMs - task.waitingSinceMs), checkpoint: task.checkpoint.value || undefined,
			});
		}

		const starts = runs.map(run => this.#createStart(worker, run));
		const inFlight = window.recordSent(getOrderBytes(starts));
		const reply = await links.order(worker, starts.map((start): Order => ({type: OrderType.Start, start})), notAfterMs);
		window.recordAnswer(inFlight, reply && this.#getTransitMs(worker, reply, inFlight.sentAtMs));
		onAnswered();
		if (!reply) {
			for (const {task} of runs) {
				worker.sentInputs?.delete(task.step.workflow);
			}
		}

		const nowMs = clock.monotonicMs();
		for (const [index, run] of runs.entries()) {
			run.isOrderPending = false;
			const answer = reply?.answers[index];
			if (answer) {
				this.#handleAnswer(worker, run, answer, {version: reply.version, nowMs});
			}
		}
	}

	/** Gets how long orders were on their way; for an agent that does not tell, the time until its answer was handled. */
	#getTransitMs({agentClock}: FleetWorker, {receivedAtMs}: OrdersReply, sentAtMs: number): number {
		return receivedAtMs === undefined ? this.#options.clock.monotonicMs() - sentAtMs : receivedAtMs - agentClock.estimate(sentAtMs);
	}

	/** Creates the start of a run, with the job's input unless the agent keeps it. */
	#createStart(worker: FleetWorker, {task, run}: LiveRun): OrderedStart {
		const {step, taskId, checkpoint} = task;
		const {spec, service} = step.workflow;
		const isInputSent = worker.sentInputs?.has(step.workflow) ?? false;
		worker.sentInputs?.add(step.workflow);
		return {
			taskId, run, ...(!isInputSent && {input: spec.input, service}), checkpoint: checkpoint.value, ticket: this.#options.getTicket(step, worker.report!.workerId),
		};
	}

	#handleAnswer(worker: FleetWorker, run: LiveRun, {isDone, refusal}: WorkerAnswer, {version, nowMs}: {version: number; nowMs: number}): void {
		const {tracker, note, onStaleEpoch} = this.#options;
		if (!run.task.runs.includes(run)) {
			return;
		}

		if (isDone) {
			this.#startDelayMs += delayWeight * (nowMs - run.orderedAtMs - this.#startDelayMs);
			tracker.confirm(run, version, nowMs);
			return;
		}

		note('start refused', {
			taskId: run.task.taskId, run: run.run, host: worker.host, refusal, afterMs: Math.round(nowMs - run.orderedAtMs),
		});
		if (refusal === OrderRefusal.StaleEpoch) {
			onStaleEpoch();
			return;
		}

		if (refusal === OrderRefusal.InputUnknown) {
			worker.sentInputs?.delete(run.task.step.workflow);
		}

		worker.blockedUntilMs = Math.max(worker.blockedUntilMs, nowMs + (refusalPauseMs[refusal!] ?? 0));
		// A state that lists the run takes precedence over a refusal.
		if (refusal !== OrderRefusal.Unanswered && run.phase === RunPhase.Starting) {
			tracker.withdraw(run, worker);
		}
	}
}

/** Gets the number that the task's next run must exceed. Members of a gang share the number, also with members that are active already. */
const getLastRun = ({step, lastRun}: LiveTask): number => {
	const {spec, tasks, workflow} = step;
	if (!spec.isGang) {
		return Math.max(lastRun, workflow.lastRun);
	}

	const isActive = tasks.some(({runs}) => runs.length > 0);
	return Math.max(isActive ? 0 : workflow.lastRun, ...tasks.map(member => member.runs.length > 0 ? member.lastRun - 1 : member.lastRun));
};
