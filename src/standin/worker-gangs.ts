/**
Stand-in for what lets the tasks of a gang work together on several workers: they begin once all members of one run are there, must carry the same
checkpoint, and end together.
*/
import {type Clock, type Timer} from '../types/clock.ts';
import {RunEnd} from '../types/workflows.ts';

/** A member on its worker. */
export type GangMember = {
	taskId: string;
	run: number;
	/** Checkpoint that its start carried. */
	checkpoint: string;
	begin: () => void;
	end: (end: RunEnd) => void;
};

type GangRun = {members: Map<string, GangMember>; timers: Map<string, Timer>};

const getKey = ({taskId, run}: Pick<GangMember, 'taskId' | 'run'>): string => `${taskId.slice(0, taskId.lastIndexOf('.'))} ${run}`;

/** Gangs of a site. */
export class WorkerGangs {
	readonly #clock: Clock;
	readonly #timeoutMs: number;
	readonly #onMismatch: (member: GangMember) => void;
	readonly #runs = new Map<string, GangRun>();

	/** Members wait for each other for `timeoutMs`. `onMismatch`: a start has another checkpoint than the members of its run that are there. */
	constructor(clock: Clock, timeoutMs: number, onMismatch: (member: GangMember) => void) {
		this.#clock = clock;
		this.#timeoutMs = timeoutMs;
		this.#onMismatch = onMismatch;
	}

	/** Adds a member, and begins once all are there; returns false for one with another checkpoint than the others. */
	add(member: GangMember, size: number): boolean {
		const key = getKey(member);
		const {members, timers} = this.#runs.get(key) ?? {members: new Map<string, GangMember>(), timers: new Map<string, Timer>()};
		if ([...members.values()].some(({checkpoint}) => checkpoint !== member.checkpoint)) {
			this.#onMismatch(member);
			return false;
		}

		this.#runs.set(key, {members, timers});
		members.set(member.taskId, member);
		timers.set(member.taskId, this.#clock.setTimer(() => {
			member.end(RunEnd.GangTimeout);
		}, this.#timeoutMs));
		if (members.size === size) {
			for (const [taskId, {begin}] of members) {
				timers.get(taskId)!.cancel();
				begin();
			}
		}

		return true;
	}

	/** Removes a member that has ended, and ends the others with it. */
	remove(member: Pick<GangMember, 'taskId' | 'run'>, end: RunEnd | 'lost'): void {
		const gang = this.#runs.get(getKey(member));
		if (!gang?.members.has(member.taskId)) {
			return;
		}

		this.#runs.delete(getKey(member));
		gang.members.delete(member.taskId);
		for (const timer of gang.timers.values()) {
			timer.cancel();
		}

		for (const other of gang.members.values()) {
			other.end(end === RunEnd.Done ? RunEnd.Done : RunEnd.GangBroken);
		}
	}
}
