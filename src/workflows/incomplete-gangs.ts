/**
Finds gangs that stay incomplete: a member's start was refused, lost or never ordered, and the others hold their capacity and wait for it. Their
runs are stopped, and the gang starts anew under one higher run number.

A member is not started again beside those that wait: a run number that its worker has seen is refused there, and after a takeover the owner does not
know which checkpoint the others carry.
*/
import {type Clock} from '../types/clock.ts';
import {type FleetWorker} from './fleet-view.ts';
import {
	RunPhase, type LiveRun, type LiveStep, type LiveTask,
} from './live-model.ts';

/** Options of the search. */
export type IncompleteGangsOptions = {
	clock: Clock;
	/** How long members wait for each other on their workers. */
	gangTimeoutMs: number;
	getWorker: (host: string) => FleetWorker | undefined;
	/** Whether no run of the task can be active that this owner does not know of, so that it could start it again. */
	mayStart: (task: LiveTask) => boolean;
	note: (event: string, fields: Record<string, unknown>) => void;
};

/** Why a gang stays incomplete. */
export enum IncompleteReason {
	/** A member has no run under the number of the others. */
	MemberMissing = 'member-missing',
	/** A member was ordered to start long ago, and its agent does not list it. */
	NotStarted = 'not-started',
}

/** Share of the time for which members wait after which the gang is stopped: the stops must arrive before the end of it. */
const maxAssemblyShare = 0.6;
/** The agent's state has to be newer than the order by this share: a start that is carried out late shows in it. */
const minStateShare = 0.3;

type Finding = {atMs: number; reason: IncompleteReason | undefined};

/** Incomplete gangs of one owner. */
export class IncompleteGangs {
	readonly #options: IncompleteGangsOptions;
	/** By step, as of the last check. */
	readonly #findings = new WeakMap<LiveStep, Finding>();

	constructor(options: IncompleteGangsOptions) {
		this.#options = options;
	}

	/** Whether the run is of a gang that stays incomplete. */
	has({task: {step}}: LiveRun): boolean {
		if (!step.spec.isGang) {
			return false;
		}

		const nowMs = this.#options.clock.monotonicMs();
		const known = this.#findings.get(step);
		if (known?.atMs === nowMs) {
			return known.reason !== undefined;
		}

		const reason = this.#getReason(step, nowMs);
		this.#findings.set(step, {atMs: nowMs, reason});
		if (reason !== undefined && known?.reason === undefined) {
			this.#note(step, reason);
		}

		return reason !== undefined;
	}

	#getReason(step: LiveStep, nowMs: number): IncompleteReason | undefined {
		const {mayStart} = this.#options;
		const number = getRunNumber(step);
		const members = step.tasks.map(({runs}) => runs.find(({run}) => run === number));
		if (members.includes(undefined)) {
			return mayStart(step.tasks[0]!) ? IncompleteReason.MemberMissing : undefined;
		}

		// A gang makes progress only once all of its members are there, whatever the answers say.
		const isWorking = members.some(run => run!.percent > run!.basePercent);
		return !isWorking && members.some(run => this.#isNotStarted(run!, nowMs)) ? IncompleteReason.NotStarted : undefined;
	}

	/** Whether the run was ordered long ago, and the agent was asked since, and did not list it. */
	#isNotStarted({phase, host, orderedAtMs}: LiveRun, nowMs: number): boolean {
		const {gangTimeoutMs, getWorker} = this.#options;
		const stateAsOfMs = getWorker(host)?.stateAsOfMs ?? Number.NEGATIVE_INFINITY;
		return phase === RunPhase.Starting && nowMs - orderedAtMs > maxAssemblyShare * gangTimeoutMs && stateAsOfMs - orderedAtMs > minStateShare * gangTimeoutMs;
	}

	#note(step: LiveStep, reason: IncompleteReason): void {
		const number = getRunNumber(step);
		const count = (isCounted: (run: LiveRun) => boolean) => step.tasks.filter(({runs}) => runs.some(run => run.run === number && isCounted(run))).length;
		this.#options.note('gang incomplete', {
			id: step.workflow.spec.id, occurrence: step.occurrence, step: step.index, run: number, reason, members: step.tasks.length, present: count(() => true), starting: count(({phase}) => phase === RunPhase.Starting),
		});
	}
}

/** Number of the newest active run of any member. */
const getRunNumber = ({tasks}: LiveStep): number => Math.max(0, ...tasks.flatMap(({runs}) => runs.map(({run}) => run)));
