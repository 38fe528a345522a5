/**
State of an agent: its worker, the lease it holds for it, the runs there, and the version that owners wait on.
*/
import {isWithin, type CrashedRun, type WorkerReport} from '../types/fleet.ts';
import {LeaseClock} from './lease-clock.ts';
import {WorkerRuns} from './worker-runs.ts';

/** One incarnation of the worker as the agent knows it. */
export type WorkerState = {
	report: WorkerReport;
	lease: LeaseClock;
	runs: WorkerRuns;
	/** Ends up to this number are in the log. */
	forgetUpTo: number;
	/** Set while the agent was declared lost: nothing is prolonged until the worker's clock shows this. */
	lapseUntilMs?: number;
	/** Whether the last renewal was answered. */
	isAnswering: boolean;
	/** When the first renewal without an answer failed; undefined while it answers. */
	silentSinceMs?: number;
	/** When the worker last answered a listing or a start. */
	answeredAtMs: number;
	/** The worker gives no answer and its leases are over. */
	isOver: boolean;
};

const maxGone = 20;
/** An agent that stood still notices late that its worker crashed: not later than this after the last answer, as far as ages go. */
const noticeMs = 250;
/** Beyond this the oldest are dropped: no owner has been there for long. */
const maxCrashed = 1000;

/** About when a worker that is gone crashed. */
export const getCrashedAtMs = ({silentSinceMs, answeredAtMs}: WorkerState, nowMs: number): number =>
	Math.min(silentSinceMs ?? nowMs, answeredAtMs + noticeMs);

/** State of an agent. */
export class AgentState {
	readonly life: string;
	worker: WorkerState | undefined;
	/** When an owner was last told the state. */
	toldAtMs = Number.NEGATIVE_INFINITY;
	/** Offset of the registration in force; 0 before the first. */
	session = 0;
	/** Declared lost: the leases have to run out before anything is prolonged or started again. */
	mustLapse = false;
	/** Incarnations of which nothing runs any more. */
	readonly goneWorkerIds: string[] = [];
	/** Runs that were there as workers crashed, and are not known to be in the log. */
	#crashed: CrashedRun[] = [];
	#lastCrashed = 0;
	/** Announced while another incarnation was known and not yet known to be gone. */
	#successor: WorkerReport | undefined;
	#version = 1;
	readonly #waiters = new Set<() => void>();
	readonly #horizonMs: number;

	constructor(life: string, horizonMs: number) {
		this.life = life;
		this.#horizonMs = horizonMs;
	}

	/** Rises with each change that owners want to know. */
	get version(): number {
		return this.#version;
	}

	/** Runs that were there as workers crashed, and are not known to be in the log. */
	get crashed(): readonly CrashedRun[] {
		return this.#crashed;
	}

	/** Notes a change that the owner knows already. */
	advance(): void {
		this.#version++;
	}

	/** Notes a change and wakes who waits for one. */
	bump(): void {
		this.advance();
		this.wake();
	}

	/** Wakes who waits for news: figures of tasks are new, or more has changed. */
	wake(): void {
		for (const wake of this.#waiters) {
			wake();
		}
	}

	/** Calls back at the next change; gives a function that withdraws it. */
	onChange(wake: () => void): () => void {
		this.#waiters.add(wake);
		return () => {
			this.#waiters.delete(wake);
		};
	}

	/**
	Takes an announcement. True for a new incarnation of the worker.

	An announcement that was held up may come from an incarnation that has crashed since, also one that this life of the
	agent never met. Taken for the newest, it would make the owner believe that nothing runs on the one that lives, and
	start all of that elsewhere. So a second incarnation waits until the worker itself says that the first is gone.
	*/
	announce(report: WorkerReport, nowMs: number): boolean {
		const known = this.worker?.report;
		if (known?.workerId === report.workerId) {
			// Announcements may overtake each other; the sequence tells which is newer.
			if (report.sequence > known.sequence) {
				this.worker!.report = report;
				if (known.isDraining !== report.isDraining || !isWithin(known, report) || !isWithin(report, known)) {
					this.bump();
				}
			}

			return false;
		}

		if (this.goneWorkerIds.includes(report.workerId)) {
			// Sent by an incarnation that has crashed since, and held up on its way.
			return false;
		}

		if (known) {
			this.#successor = report;
			return false;
		}

		this.#begin(report, nowMs);
		return true;
	}

	/** Notes that nothing runs any more on an incarnation. */
	noteGone(workerId: string): void {
		if (!this.goneWorkerIds.includes(workerId)) {
			this.goneWorkerIds.push(workerId);
			this.goneWorkerIds.splice(0, Math.max(0, this.goneWorkerIds.length - maxGone));
			this.bump();
		}
	}

	/**
	The worker is gone without a word, and this process was there all the while: it crashed, where a host that loses power
	takes its agent along. One that drains was about to end.
	*/
	noteCrash(worker: WorkerState, nowMs: number): void {
		const {report, runs} = worker;
		if (report.isDraining) {
			return;
		}

		for (const aboard of runs.getAboard(getCrashedAtMs(worker, nowMs))) {
			this.#crashed.push({...aboard, number: ++this.#lastCrashed, workerId: report.workerId});
		}

		this.#crashed.splice(0, Math.max(0, this.#crashed.length - maxCrashed));
	}

	/** Drops crashed runs that are in the log. */
	forgetCrashed(upTo: number): void {
		this.#crashed = this.#crashed.filter(({number}) => number > upTo);
	}

	/** Drops the worker: it ended, or another incarnation answers at its address. That one may have announced itself. */
	drop(workerId: string, nowMs: number): void {
		if (this.worker?.report.workerId === workerId) {
			this.worker = undefined;
		}

		this.noteGone(workerId);
		const successor = this.#successor;
		if (!this.worker && successor && successor.workerId !== workerId) {
			this.#begin(successor, nowMs);
		}
	}

	#begin(report: WorkerReport, nowMs: number): void {
		this.#successor = undefined;
		this.worker = {
			report, lease: new LeaseClock(this.#horizonMs), runs: new WorkerRuns(), forgetUpTo: 0, isOver: false, isAnswering: true, answeredAtMs: nowMs,
		};
		this.bump();
	}
}
