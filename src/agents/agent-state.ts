/**
State of an agent: its worker, the lease that it holds for the worker, the worker's runs, and the version that owners long-poll.
*/
import {isWithin, type CrashedRun, type WorkerReport} from '../types/fleet.ts';
import {getLeaseExpiryMs, WorkerLease} from './worker-lease.ts';
import {WorkerRuns} from './worker-runs.ts';

/** What the agent knows of one incarnation of the worker. */
export type WorkerState = {
	report: WorkerReport;
	/** When this process learned of the incarnation. */
	knownSinceMs: number;
	lease: WorkerLease;
	runs: WorkerRuns;
	/** Ends of runs up to this number are stored in the log; the worker may drop them. */
	forgetUpTo: number;
	/** Set after the agent was declared lost: no lease is renewed until the worker's clock has passed this reading. */
	allLeasesExpiredAtMs?: number;
	/** Whether the worker has announced that it ends. */
	hasLeft: boolean;
	/** Whether an earlier incarnation had its id. */
	isRestarted: boolean;
	/** Whether the worker answered the last renewal. */
	isAnswering: boolean;
	/** When a renewal first got no answer; undefined while the worker answers. */
	unresponsiveSinceMs?: number;
	/** When the worker last answered a listing or a start. */
	answeredAtMs: number;
	/** The worker does not answer, and all leases granted to it have expired. */
	areLeasesExpired: boolean;
	/** Another incarnation, which answers at the worker's address to calls that were meant for this one. */
	replacedBy?: string;
};

const maxGoneWorkerIds = 20;
/**
A paused agent detects the crash of its worker late, which would make the crashed runs look older than they are. The crash is
taken to have come at most this long after the worker's last answer.
*/
const maxCrashDelayMs = 250;
/** Bound on the crashed runs kept while no owner stores them; the oldest are dropped. */
const maxCrashedRuns = 1000;

/** Estimates when a worker that is gone crashed. */
export const estimateCrashedAtMs = ({unresponsiveSinceMs, answeredAtMs}: WorkerState, nowMs: number): number =>
	Math.min(unresponsiveSinceMs ?? nowMs, answeredAtMs + maxCrashDelayMs);

/** State of an agent. */
export class AgentState {
	/** Identifies this start of the agent process; `agentLife` in messages. */
	readonly life: string;
	worker: WorkerState | undefined;
	/** When the state was last sent to an owner. */
	lastReportedAtMs = Number.NEGATIVE_INFINITY;
	/** When a listing of a worker was last applied; undefined: none was yet. */
	listedAtMs?: number;
	/** Offset of the registration in effect; 0 before the first. */
	session = 0;
	/** Whether the registration in effect was made since all leases last expired. Without one, owners may not know this agent. */
	isRegistered = false;
	/** Declared lost: all leases must expire before any is renewed or any task is started. */
	mustLetLeasesExpire = false;
	/** Whether no earlier process of this agent can have left runs or leases: the host had no registration when this one began. */
	isFirstProcess = false;
	/** Told to stop: no lease is renewed and no task started any more. */
	isLeaving = false;
	/** Incarnations of the worker that have ended, with all their runs. */
	readonly goneWorkerIds: string[] = [];
	/** Runs that were resident when a worker crashed, and that no owner has reported as stored in the log. */
	#crashed: CrashedRun[] = [];
	#lastCrashedNumber = 0;
	/** A second incarnation, announced while the first is not known to be gone. */
	#successor: WorkerReport | undefined;
	#version = 1;
	readonly #watchers = new Set<() => void>();
	readonly #startedAtMs: number;
	readonly #leaseMs: number;
	readonly #maxLeaseMs: number;
	/** Whether this process has listed a worker that is gone: later incarnations started during this process, and no earlier one sent them a lease. */
	#hasListedGoneWorker = false;

	constructor(life: string, {startedAtMs, leaseMs, maxLeaseMs}: {startedAtMs: number; leaseMs: number; maxLeaseMs: number}) {
		this.life = life;
		this.#startedAtMs = startedAtMs;
		this.#leaseMs = leaseMs;
		this.#maxLeaseMs = maxLeaseMs;
	}

	/**
	Whether nothing can run on the host: it has no worker, and starts could only have come from this process. One that was announced and is
	gone proves nothing unless it was listed: the announcement may be a late one, from before the incarnation that lives.
	*/
	isVacant(nowMs: number): boolean {
		return this.worker === undefined && (this.isFirstProcess || this.#hasListedGoneWorker || this.#areEarlierLeasesExpired(nowMs));
	}

	/** Whether nothing runs on a worker that does not answer: all leases have expired, those of earlier processes too if this one has sent none. */
	areLeasesExpired(nowMs: number): boolean {
		const {worker} = this;
		return worker !== undefined && (worker.areLeasesExpired || (worker.lease.sampleAtMs === undefined && this.#areEarlierLeasesExpired(nowMs)));
	}

	/** Increases with each change that owners need to know. */
	get version(): number {
		return this.#version;
	}

	/** Runs that were resident when a worker crashed, and that no owner has reported as stored in the log. */
	get crashed(): readonly CrashedRun[] {
		return this.#crashed;
	}

	/** Increments the version for a change that the owner already knows of. */
	incrementVersion(): void {
		this.#version++;
	}

	/** Increments the version and wakes the watchers. */
	notifyChange(): void {
		this.incrementVersion();
		this.wakeWatchers();
	}

	/** Wakes the watchers: measurements of tasks are new, or the version has changed. */
	wakeWatchers(): void {
		for (const onWake of this.#watchers) {
			onWake();
		}
	}

	/** Registers a callback for changes; returns a function that removes it. */
	onChange(onWake: () => void): () => void {
		this.#watchers.add(onWake);
		return () => {
			this.#watchers.delete(onWake);
		};
	}

	/**
	Applies an announcement. Returns true if it makes a new incarnation of the worker the current one.

	A delayed announcement may come from an incarnation that has crashed since, possibly before this agent process started.
	If it replaced the live incarnation, the owner would take the live one's runs for ended and start them elsewhere as well.
	So a second incarnation becomes current only after the worker's own answer shows that the first is gone.
	*/
	applyAnnouncement(report: WorkerReport, nowMs: number): boolean {
		const known = this.worker?.report;
		if (known?.workerId === report.workerId) {
			// Announcements may arrive out of order; the one with the higher sequence is newer.
			if (report.sequence > known.sequence) {
				this.worker!.report = report;
				// The message that it ends names an id only, and came late, from the incarnation that had the id before.
				this.worker!.hasLeft &&= report.isDraining || !this.worker!.isRestarted;
				if (known.isDraining !== report.isDraining || !isWithin(known, report) || !isWithin(report, known)) {
					this.notifyChange();
				}
			}

			return false;
		}

		if (this.goneWorkerIds.includes(report.workerId)) {
			// A delayed announcement of an incarnation that has ended.
			return false;
		}

		if (known) {
			this.#successor = report;
			return false;
		}

		this.#setWorker(report, nowMs);
		return true;
	}

	/** Records that an incarnation has announced its end. The current one has ended once it no longer listens: it may need seconds for that. */
	recordLeave(workerId: string, nowMs: number): void {
		if (this.worker?.report.workerId === workerId) {
			this.worker.hasLeft = true;
		} else {
			this.removeWorker(workerId, nowMs);
		}
	}

	/** Records that an incarnation has ended, with all its runs. */
	recordGone(workerId: string): void {
		if (!this.goneWorkerIds.includes(workerId)) {
			this.goneWorkerIds.push(workerId);
			this.goneWorkerIds.splice(0, Math.max(0, this.goneWorkerIds.length - maxGoneWorkerIds));
			this.notifyChange();
		}
	}

	/**
	Records the runs of a worker that ended without a leave message while this process kept running. The worker itself crashed:
	a loss of the host would have ended the agent too. A draining worker was about to end, so its end is not counted as a crash.
	*/
	recordCrash(worker: WorkerState, nowMs: number): void {
		const {report, runs} = worker;
		if (report.isDraining) {
			return;
		}

		for (const resident of runs.getResidentRuns(estimateCrashedAtMs(worker, nowMs))) {
			this.#crashed.push({...resident, number: ++this.#lastCrashedNumber, workerId: report.workerId});
		}

		this.#crashed.splice(0, Math.max(0, this.#crashed.length - maxCrashedRuns));
	}

	/** Drops crashed runs that are stored in the log. */
	dropStoredCrashes(upTo: number): void {
		this.#crashed = this.#crashed.filter(({number}) => number > upTo);
	}

	/** Whether the incarnation has announced itself and becomes current when the present one is removed. */
	isSuccessor(workerId: string): boolean {
		return this.#successor?.workerId === workerId;
	}

	/**
	Removes an incarnation that ended or whose address another one answers at. If a successor has announced itself, it becomes current;
	`isRestart`: it has the id of the removed one, and may have executed calls that were meant for that.
	*/
	removeWorker(workerId: string, nowMs: number, isRestart = false): void {
		if (this.worker?.report.workerId === workerId) {
			this.#hasListedGoneWorker ||= this.worker.runs.isListed;
			this.worker = undefined;
		}

		this.recordGone(workerId);
		const successor = this.#successor;
		if (!this.worker && successor && successor.workerId !== workerId) {
			this.#setWorker(successor, nowMs, isRestart);
		}
	}

	/** An earlier process ended before this one began, and so renewed no lease since. */
	#areEarlierLeasesExpired(nowMs: number): boolean {
		return nowMs - this.#startedAtMs > getLeaseExpiryMs(this.#leaseMs);
	}

	#setWorker(report: WorkerReport, nowMs: number, isRestart = false): void {
		this.#successor = undefined;
		this.worker = {
			report,
			knownSinceMs: nowMs,
			lease: new WorkerLease(this.#leaseMs, this.#hasListedGoneWorker && !isRestart ? 0 : this.#maxLeaseMs),
			runs: new WorkerRuns(),
			forgetUpTo: 0,
			areLeasesExpired: false,
			hasLeft: false,
			isRestarted: isRestart,
			isAnswering: true,
			answeredAtMs: nowMs,
		};
		this.notifyChange();
	}
}
