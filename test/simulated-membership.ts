/**
Simulated entries with membership and slots on a manual clock, with broken links, pauses, crashes and restarts, and upstreams
that announce themselves.
*/
import {createKernel, type RunningKernel} from '../src/core/kernel.ts';
import {createSettings} from '../src/core/settings.ts';
import {type Settings} from '../src/core/settings-schema.ts';
import {createMembershipService} from '../src/plugins/membership-service.ts';
import {createMetricsService} from '../src/plugins/metrics-service.ts';
import {MemoryNetwork} from '../src/plugins/peers-memory-transport.ts';
import {createPeersService} from '../src/plugins/peers-service.ts';
import {type PeerTransport} from '../src/plugins/peers-transport.ts';
import {createSlotsService} from '../src/plugins/slots-service.ts';
import {createUpstreamsService} from '../src/plugins/upstreams-service.ts';
import {createWorkersService} from '../src/plugins/workers-service.ts';
import {MemoryLog} from '../src/standin/memory-log.ts';
import {HostState, type AnnouncementReply, type UpstreamAnnouncement} from '../src/types/announcements.ts';
import {type Clock, type Timer} from '../src/types/clock.ts';
import {type Random} from '../src/types/random.ts';
import {ServiceName, type ControlService} from '../src/types/services.ts';
import {getRetryPauseMs, SponsorLock} from '../src/utils/announcer.ts';
import {ManualClock} from '../src/utils/manual-clock.ts';
import {createRandom} from '../src/utils/seeded-random.ts';
import {sleepOn} from '../src/utils/system-clock.ts';

export const upstreamSlots = 8;
const announceTimeoutMs = 1000;

/** The clock of one process. While it is paused, time passes but no callback of the process runs. */
export class ProcessClock implements Clock {
	isPaused = false;
	readonly #base: Clock;
	readonly #wallOffsetMs: number;
	readonly #deferred: Array<() => void> = [];

	constructor(base: Clock, wallOffsetMs = 0) {
		this.#base = base;
		this.#wallOffsetMs = wallOffsetMs;
	}

	monotonicMs(): number {
		return this.#base.monotonicMs();
	}

	now(): Date {
		return new Date(this.#base.now().getTime() + this.#wallOffsetMs);
	}

	setTimer(callback: () => void, delayMs: number): Timer {
		let isCancelled = false;
		const fire = () => {
			if (!isCancelled) {
				callback();
			}
		};

		const timer = this.#base.setTimer(() => {
			this.run(fire);
		}, delayMs);
		return {
			cancel() {
				isCancelled = true;
				timer.cancel();
			},
		};
	}

	async sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
		await sleepOn((callback, ms) => this.setTimer(callback, ms), delayMs, signal);
	}

	/** Runs the action, or defers it to the end of the pause. */
	run(action: () => void): void {
		if (this.isPaused) {
			this.#deferred.push(action);
		} else {
			action();
		}
	}

	async waitUntilRunning(): Promise<void> {
		await new Promise<void>(resolve => {
			this.run(resolve);
		});
	}

	resume(): void {
		this.isPaused = false;
		for (const action of this.#deferred.splice(0)) {
			action();
		}
	}
}

const createPausableTransport = (transport: PeerTransport, clock: ProcessClock): PeerTransport => ({
	listen: async (address, serve) => transport.listen(address, async request => {
		await clock.waitUntilRunning();
		return serve(request);
	}),
	async call(address, request, timeoutMs) {
		try {
			return await transport.call(address, request, timeoutMs);
		} finally {
			await clock.waitUntilRunning();
		}
	},
	close: async () => transport.close(),
});

const fakeControl: ControlService = {
	route: () => undefined,
	getAddress: () => '127.0.0.1:0',
	addStatus: () => undefined,
	addReadiness: () => undefined,
};

type Hold = {
	upstreamKey: string;
	endMs: number;
	isReleased: boolean;
};

export type SimulatedEntry = {
	id: string;
	clock: ProcessClock;
	kernel: RunningKernel;
	isCrashed: boolean;
	holds: Hold[];
	address(): string;
};

export type SimulatedUpstream = {
	body: Omit<UpstreamAnnouncement, 'sequence' | 'state'>;
	state: HostState;
	isStopped: boolean;
	/** Ids of the entries that it announces itself to; empty means all. */
	targets: string[];
	sent: UpstreamAnnouncement[];
	announce(entry: SimulatedEntry): Promise<AnnouncementReply | undefined>;
};

type SimulatedMembershipOptions = {
	seed?: number;
	settings?: {[Section in keyof Settings]?: Partial<Settings[Section]>};
};

export class SimulatedMembership {
	announcements = 0;
	readonly clock = new ManualClock();
	readonly random: Random;
	readonly log: MemoryLog;
	readonly network: MemoryNetwork;
	readonly entries = new Map<string, SimulatedEntry>();
	readonly upstreams = new Map<string, SimulatedUpstream>();
	readonly #options: SimulatedMembershipOptions;
	readonly #crashed: SimulatedEntry[] = [];
	readonly #leaving = new Map<string, SimulatedEntry>();

	constructor(options: SimulatedMembershipOptions = {}) {
		this.#options = options;
		this.random = createRandom(options.seed ?? 1);
		this.log = new MemoryLog(this.clock, this.random);
		this.network = new MemoryNetwork(this.clock, this.random);
	}

	async startEntry(id: string): Promise<SimulatedEntry> {
		const clock = new ProcessClock(this.clock);
		const kernel = createKernel(clock, 30_000);
		kernel.provide(ServiceName.Settings, createSettings({...this.#options.settings, process: {id}}));
		kernel.provide(ServiceName.Clock, clock);
		kernel.provide(ServiceName.Random, this.random);
		kernel.provide(ServiceName.Identity, {
			processId: id, incarnation: this.clock.now().getTime(), region: 'r', failureDomain: 'd',
		});
		kernel.provide(ServiceName.Log, this.log);
		kernel.provide(ServiceName.Control, fakeControl);
		kernel.provide(ServiceName.Metrics, createMetricsService(kernel));
		const transport = createPausableTransport(this.network.createTransport(), clock);
		let boundAddress = '';
		const listening: PeerTransport = {
			...transport,
			async listen(address, serve) {
				boundAddress = await transport.listen(address, serve);
				return boundAddress;
			},
		};
		const plugins = [
			{name: ServiceName.Peers, load: async () => (other: typeof kernel) => createPeersService(other, listening)},
			{name: ServiceName.Membership, load: async () => createMembershipService},
			{name: ServiceName.Upstreams, load: async () => createUpstreamsService},
			{name: ServiceName.Workers, load: async () => createWorkersService},
			{name: ServiceName.Slots, load: async () => (other: typeof kernel) => createSlotsService(other)},
		];
		for (const plugin of plugins) {
			kernel.register({...plugin, dependsOn: []} as Parameters<typeof kernel.register>[0]);
		}

		await kernel.start();
		const entry: SimulatedEntry = {
			id, clock, kernel, address: () => boundAddress, isCrashed: false, holds: [],
		};
		this.entries.set(id, entry);
		return entry;
	}

	/** Ends a process without notice to others. Its requests keep running at the upstreams. */
	crash(id: string): void {
		const entry = this.entries.get(id);
		if (!entry) {
			return;
		}

		entry.isCrashed = true;
		entry.clock.isPaused = true;
		this.#crashed.push(entry);
		this.entries.delete(id);
	}

	/** Pauses a process for the duration. */
	pause(id: string, pauseMs: number): void {
		const entry = this.entries.get(id);
		if (!entry || entry.clock.isPaused) {
			return;
		}

		entry.clock.isPaused = true;
		this.clock.setTimer(() => {
			if (!entry.isCrashed) {
				entry.clock.resume();
			}
		}, pauseMs);
	}

	/** Stops a process gracefully. */
	async leave(id: string): Promise<void> {
		const entry = this.entries.get(id)!;
		this.#leaving.set(id, entry);
		this.entries.delete(id);
		await entry.kernel.stop();
		this.#leaving.delete(id);
		this.#crashed.push(entry);
	}

	isLeaving(id: string): boolean {
		return this.#leaving.has(id);
	}

	/** Delivers an earlier announcement again. */
	redeliver(entry: SimulatedEntry, announcement: UpstreamAnnouncement): void {
		void this.#send(entry, announcement);
	}

	setLinkBroken(a: string, b: string, isBroken: boolean): void {
		const [first, second] = [this.entries.get(a), this.entries.get(b)];
		if (first && second) {
			this.network.setLinkBroken(first.address(), second.address(), isBroken);
		}
	}

	addUpstream(upstreamId: string, options: Partial<UpstreamAnnouncement> & {isEchoing?: boolean; targets?: string[]} = {}): SimulatedUpstream {
		const {isEchoing = true, targets = [], ...shape} = options;
		const lock = new SponsorLock(this.clock);
		let sequence = 0;
		const upstream: SimulatedUpstream = {
			body: {
				upstreamId, service: 's', incarnation: 1, address: '127.0.0.1:1', region: 'r', failureDomain: 'd', slots: upstreamSlots, connections: 64, isGuarded: false, ...shape,
			},
			state: HostState.Alive,
			isStopped: false,
			targets,
			sent: [],
			announce: async entry => {
				const echo = isEchoing ? lock.getEcho() : {};
				const announcement = {
					...upstream.body, ...echo, sequence: ++sequence, state: upstream.state,
				};
				upstream.sent.push(announcement);
				this.announcements++;
				const reply = await this.#send(entry, announcement);
				if (reply && isEchoing) {
					lock.handleReply(reply, echo as ReturnType<SponsorLock['getEcho']>);
				}

				return reply;
			},
		};
		this.upstreams.set(`${upstreamId}@${upstream.body.incarnation}`, upstream);
		void this.#announceRepeatedly(upstream);
		return upstream;
	}

	/** Reserves a slot for a request that runs for `runMs` and must have ended after `holdMs`; false if none was free. */
	tryAcquireSlot(entry: SimulatedEntry, upstreamId: string, runMs: number, holdMs: number): boolean {
		if (entry.clock.isPaused) {
			return false;
		}

		const upstream = entry.kernel.get(ServiceName.Upstreams).get(upstreamId);
		const hold = entry.kernel.get(ServiceName.Slots).tryTake(upstreamId, holdMs);
		if (!hold || !upstream) {
			return false;
		}

		const record: Hold = {upstreamKey: `${upstreamId}@${upstream.incarnation}`, endMs: this.clock.monotonicMs() + holdMs, isReleased: false};
		entry.holds.push(record);
		entry.clock.setTimer(() => {
			record.isReleased = true;
			hold.release();
		}, Math.min(runMs, holdMs));
		return true;
	}

	/** Requests that may be running at each upstream incarnation, from all entries including crashed ones. */
	getHeld(): Map<string, number> {
		const nowMs = this.clock.monotonicMs();
		const sums = new Map<string, number>();
		for (const entry of [...this.entries.values(), ...this.#leaving.values(), ...this.#crashed]) {
			entry.holds = entry.holds.filter(({endMs, isReleased}) => endMs > nowMs && !isReleased);
			for (const {upstreamKey} of entry.holds) {
				sums.set(upstreamKey, (sums.get(upstreamKey) ?? 0) + 1);
			}
		}

		return sums;
	}

	getRoutable(id: string): string[] {
		return this.entries.get(id)!.kernel.get(ServiceName.Upstreams).getRoutable('s').map(({upstreamId}) => upstreamId).toSorted();
	}

	async stop(): Promise<void> {
		for (const upstream of this.upstreams.values()) {
			upstream.isStopped = true;
		}

		const entries = [...this.entries.values(), ...this.#crashed];
		for (const entry of entries) {
			entry.clock.resume();
		}

		const stopping = Promise.all(entries.map(async ({kernel}) => kernel.stop()));
		await this.clock.advance(60_000);
		await stopping;
	}

	async #announceRepeatedly(upstream: SimulatedUpstream): Promise<void> {
		let target = '';
		let failures = 0;
		while (!upstream.isStopped) {
			const ids = [...this.entries.keys()].filter(id => upstream.targets.length === 0 || upstream.targets.includes(id));
			if (!ids.includes(target)) {
				target = ids[this.random.below(ids.length)] ?? '';
			}

			const entry = this.entries.get(target);
			const reply = entry && await upstream.announce(entry);
			if (!reply) {
				target = '';
			}

			failures = reply ? 0 : failures + 1;
			await this.clock.sleep(reply ? reply.nextAfterMs * (0.75 + (this.random.next() / 2)) : getRetryPauseMs(failures, this.random));
		}
	}

	async #send(entry: SimulatedEntry, announcement: UpstreamAnnouncement): Promise<AnnouncementReply | undefined> {
		return new Promise<AnnouncementReply | undefined>(resolve => {
			const timer = this.clock.setTimer(() => {
				resolve(undefined);
			}, announceTimeoutMs);
			const exchange = async () => {
				await entry.clock.waitUntilRunning();
				const reply = await receive(entry, announcement);
				await entry.clock.waitUntilRunning();
				timer.cancel();
				resolve(reply);
			};

			void exchange();
		});
	}
}

/** Resolves to undefined if the entry refuses the announcement. */
const receive = async (entry: SimulatedEntry, announcement: UpstreamAnnouncement): Promise<AnnouncementReply | undefined> => {
	try {
		return await entry.kernel.get(ServiceName.Upstreams).receive(announcement);
	} catch {
		return undefined;
	}
};
