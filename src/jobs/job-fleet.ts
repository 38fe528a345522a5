/**
The workers of the fleet as placement and leases need them: one keeper for each, and what others' tasks take of its capacity.
*/
import {type WorkerAnnouncement} from '../types/announcements.ts';
import {type Clock} from '../types/clock.ts';
import {type PlacementEngine} from '../types/placement.ts';
import {type Resources, type WorkerSnapshot, TaskState} from '../types/platform.ts';
import {type LeaseKeeper} from './lease-keeper.ts';

/** How often a worker that others use is listed while tasks wait for room. */
const listEveryMs = 2000;
/** Such workers listed in one pass, at most. */
const maxListed = 200;
const noResources: Resources = {processors: 0, memoryMb: 0, accelerators: 0};

type Member = {
	announcement: WorkerAnnouncement;
	keeper: LeaseKeeper;
	aborter: AbortController;
	/** Taken by tasks of shards that other entries own. */
	foreign: Resources;
	isOpen: boolean;
	seenAtMs: number;
	listedAtMs: number;
};

/** What the fleet needs. */
export type JobFleetOptions = {
	clock: Clock;
	engine: PlacementEngine;
	/** How long a silent worker without tasks is kept. */
	keepSilentMs: number;
	/** Workers that are alive and take tasks. */
	listWorkers(): WorkerAnnouncement[];
	createKeeper(workerId: string): LeaseKeeper;
	isOwned(shard: number): boolean;
	/** Tells whether tasks wait for room: then it matters what others have given back. */
	isRoomWanted(): boolean;
};

/** Workers with their keepers. */
export class JobFleet {
	readonly #options: JobFleetOptions;
	readonly #members = new Map<string, Member>();
	readonly #running = new Set<Promise<void>>();

	constructor(options: JobFleetOptions) {
		this.#options = options;
	}

	/** Keepers of all workers known. */
	getKeepers(): LeaseKeeper[] {
		return [...this.#members.values()].map(({keeper}) => keeper);
	}

	/** Keeper of one worker. */
	getKeeper(workerId: string): LeaseKeeper | undefined {
		return this.#members.get(workerId)?.keeper;
	}

	/** Capacities of the workers that are open. */
	* getCapacities(): Iterable<Resources> {
		for (const {announcement, isOpen} of this.#members.values()) {
			if (isOpen) {
				yield announcement.capacity;
			}
		}
	}

	/** Takes the announcements as they are now; only what changed is passed on. */
	update(): void {
		const nowMs = this.#options.clock.monotonicMs();
		for (const announcement of this.#options.listWorkers()) {
			const member = this.#members.get(announcement.workerId);
			if (member) {
				this.#updateMember(member, announcement, nowMs);
			} else {
				this.#addMember(announcement, nowMs);
			}
		}

		for (const member of this.#members.values()) {
			if (member.seenAtMs !== nowMs) {
				this.#miss(member, nowMs);
			}
		}

		if (this.#options.isRoomWanted()) {
			this.#listForeign(nowMs);
		}
	}

	/** Takes what a worker listed: what shards of others hold there is not ours to give. */
	noteSnapshot({workerId, tasks}: WorkerSnapshot): void {
		const member = this.#members.get(workerId);
		if (!member) {
			return;
		}

		const foreign = {...noResources};
		for (const {state, shard, resources} of tasks) {
			if (state === TaskState.Running && !this.#options.isOwned(shard)) {
				foreign.processors += resources.processors;
				foreign.memoryMb += resources.memoryMb;
				foreign.accelerators += resources.accelerators;
			}
		}

		member.listedAtMs = this.#options.clock.monotonicMs();
		if (!isSame(foreign, member.foreign)) {
			member.foreign = foreign;
			this.#setWorker(member);
		}
	}

	/** Ends all keepers. */
	async stop(): Promise<void> {
		for (const {aborter} of this.#members.values()) {
			aborter.abort();
		}

		await Promise.all(this.#running);
	}

	#addMember(announcement: WorkerAnnouncement, nowMs: number): void {
		const keeper = this.#options.createKeeper(announcement.workerId);
		const member: Member = {
			announcement, keeper, aborter: new AbortController(), foreign: noResources, isOpen: true, seenAtMs: nowMs, listedAtMs: nowMs,
		};
		this.#members.set(announcement.workerId, member);
		this.#setWorker(member);
		const running = keeper.run(member.aborter.signal);
		this.#running.add(running);
		void running.finally(() => {
			this.#running.delete(running);
		});
	}

	#updateMember(member: Member, announcement: WorkerAnnouncement, nowMs: number): void {
		const known = member.announcement;
		member.announcement = announcement;
		member.seenAtMs = nowMs;
		if (known.incarnation !== announcement.incarnation) {
			// Restarted under the same address: its list tells that the old tasks are gone.
			member.keeper.wantSnapshot();
			member.keeper.wake();
		}

		// A worker that announces itself and does not answer takes no tasks: each start would wait for a whole lease.
		const {isAnswering} = member.keeper;
		if (member.isOpen !== isAnswering || !isSame(known.capacity, announcement.capacity)) {
			member.isOpen = isAnswering;
			this.#setWorker(member);
		}
	}

	#listForeign(nowMs: number): void {
		let count = 0;
		for (const {foreign, keeper, listedAtMs} of this.#members.values()) {
			if (count >= maxListed) {
				return;
			}

			if (nowMs - listedAtMs >= listEveryMs && !isSame(foreign, noResources)) {
				count++;
				keeper.wantSnapshot();
				keeper.wake();
			}
		}
	}

	#miss(member: Member, nowMs: number): void {
		const {keeper, announcement: {workerId}} = member;
		if (member.isOpen) {
			member.isOpen = false;
			this.#setWorker(member);
		}

		if (keeper.tasks.size === 0 && nowMs - member.seenAtMs > this.#options.keepSilentMs) {
			member.aborter.abort();
			this.#members.delete(workerId);
			this.#options.engine.removeWorker(workerId);
		}
	}

	#setWorker({announcement, foreign, isOpen}: Member): void {
		const {workerId, region, failureDomain, rack, capacity} = announcement;
		this.#options.engine.setWorker({
			workerId,
			region,
			failureDomain,
			rack,
			capacity,
			usedByOthers: foreign,
			isSchedulable: isOpen,
		});
	}
}

const isSame = (a: Resources, b: Resources): boolean =>
	a.processors === b.processors && a.memoryMb === b.memoryMb && a.accelerators === b.accelerators;
