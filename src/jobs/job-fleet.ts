/**
Workers of the fleet: one lease manager for each, and the capacity that tasks of other entries use on it.
*/
import {type WorkerAnnouncement} from '../types/announcements.ts';
import {type Clock} from '../types/clock.ts';
import {type PlacementEngine} from '../types/placement.ts';
import {type Resources, type WorkerSnapshot, TaskState} from '../types/platform.ts';
import {type LeaseManager} from './lease-manager.ts';

/** Least time between two listings of a worker that tasks of other entries use, while tasks wait for capacity. */
const listIntervalMs = 2000;
/** Limit of such listings for each update. */
const maxListedPerUpdate = 200;
const noResources: Resources = {processors: 0, memoryMb: 0, accelerators: 0};

type Member = {
	announcement: WorkerAnnouncement;
	leaseManager: LeaseManager;
	aborter: AbortController;
	/** Used by tasks of shards that other entries own. */
	usedByOthers: Resources;
	isSchedulable: boolean;
	announcedAtMs: number;
	listedAtMs: number;
};

/** Options of `JobFleet`. */
export type JobFleetOptions = {
	clock: Clock;
	engine: PlacementEngine;
	/** How long a worker without tasks is retained after its last announcement. */
	missingRetentionMs: number;
	/** Workers that are alive and accept tasks. */
	listWorkers(): WorkerAnnouncement[];
	createLeaseManager(workerId: string): LeaseManager;
	isOwned(shard: number): boolean;
	/** Tells whether tasks wait for capacity; then capacity that other entries have released is looked up. */
	hasWaitingTasks(): boolean;
};

/** Known workers with their lease managers. */
export class JobFleet {
	readonly #options: JobFleetOptions;
	readonly #members = new Map<string, Member>();
	readonly #running = new Set<Promise<void>>();

	constructor(options: JobFleetOptions) {
		this.#options = options;
	}

	/** Lease managers of all known workers. */
	getLeaseManagers(): LeaseManager[] {
		return [...this.#members.values()].map(({leaseManager}) => leaseManager);
	}

	/** Lease manager of one worker. */
	getLeaseManager(workerId: string): LeaseManager | undefined {
		return this.#members.get(workerId)?.leaseManager;
	}

	/** Capacities of the schedulable workers. */
	* getCapacities(): Iterable<Resources> {
		for (const {announcement, isSchedulable} of this.#members.values()) {
			if (isSchedulable) {
				yield announcement.capacity;
			}
		}
	}

	/** Reads the current announcements; only changes are passed on to the engine. */
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
			if (member.announcedAtMs !== nowMs) {
				this.#markMissing(member, nowMs);
			}
		}

		if (this.#options.hasWaitingTasks()) {
			this.#requestUsedByOthers(nowMs);
		}
	}

	/** Updates from a worker's listing how much capacity tasks of shards owned by other entries use there. */
	applySnapshot({workerId, tasks}: WorkerSnapshot): void {
		const member = this.#members.get(workerId);
		if (!member) {
			return;
		}

		const usedByOthers = {...noResources};
		for (const {state, shard, resources} of tasks) {
			if (state === TaskState.Running && !this.#options.isOwned(shard)) {
				usedByOthers.processors += resources.processors;
				usedByOthers.memoryMb += resources.memoryMb;
				usedByOthers.accelerators += resources.accelerators;
			}
		}

		member.listedAtMs = this.#options.clock.monotonicMs();
		if (!isSame(usedByOthers, member.usedByOthers)) {
			member.usedByOthers = usedByOthers;
			this.#setWorker(member);
		}
	}

	/** Stops all lease managers. */
	async stop(): Promise<void> {
		for (const {aborter} of this.#members.values()) {
			aborter.abort();
		}

		await Promise.all(this.#running);
	}

	#addMember(announcement: WorkerAnnouncement, nowMs: number): void {
		const leaseManager = this.#options.createLeaseManager(announcement.workerId);
		const member: Member = {
			announcement, leaseManager, aborter: new AbortController(), usedByOthers: noResources, isSchedulable: true, announcedAtMs: nowMs, listedAtMs: nowMs,
		};
		this.#members.set(announcement.workerId, member);
		this.#setWorker(member);
		const running = leaseManager.run(member.aborter.signal);
		this.#running.add(running);
		void running.finally(() => {
			this.#running.delete(running);
		});
	}

	#updateMember(member: Member, announcement: WorkerAnnouncement, nowMs: number): void {
		const known = member.announcement;
		member.announcement = announcement;
		member.announcedAtMs = nowMs;
		if (known.incarnation !== announcement.incarnation) {
			// The worker restarted under the same address: a new listing shows that its earlier tasks are gone.
			member.leaseManager.requestSnapshot();
			member.leaseManager.wake();
		}

		// A worker that announces itself but does not answer gets no tasks: each start would wait for a whole lease.
		const {isAnswering} = member.leaseManager;
		if (member.isSchedulable !== isAnswering || !isSame(known.capacity, announcement.capacity)) {
			member.isSchedulable = isAnswering;
			this.#setWorker(member);
		}
	}

	#requestUsedByOthers(nowMs: number): void {
		let count = 0;
		for (const {usedByOthers, leaseManager, listedAtMs} of this.#members.values()) {
			if (count >= maxListedPerUpdate) {
				return;
			}

			if (nowMs - listedAtMs >= listIntervalMs && !isSame(usedByOthers, noResources)) {
				count++;
				leaseManager.requestSnapshot();
				leaseManager.wake();
			}
		}
	}

	#markMissing(member: Member, nowMs: number): void {
		const {leaseManager, announcement: {workerId}} = member;
		if (member.isSchedulable) {
			member.isSchedulable = false;
			this.#setWorker(member);
		}

		if (leaseManager.tasks.size === 0 && nowMs - member.announcedAtMs > this.#options.missingRetentionMs) {
			member.aborter.abort();
			this.#members.delete(workerId);
			this.#options.engine.removeWorker(workerId);
		}
	}

	#setWorker({announcement, usedByOthers, isSchedulable}: Member): void {
		const {workerId, region, failureDomain, rack, capacity} = announcement;
		this.#options.engine.setWorker({
			workerId,
			region,
			failureDomain,
			rack,
			capacity,
			usedByOthers,
			isSchedulable,
		});
	}
}

const isSame = (a: Resources, b: Resources): boolean =>
	a.processors === b.processors && a.memoryMb === b.memoryMb && a.accelerators === b.accelerators;
