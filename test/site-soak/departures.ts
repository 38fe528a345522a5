/**
Hosts that leave, as operators take them away, and the loss of the entry that owns the jobs around that.
*/
import {type Clock} from '../../src/types/clock.ts';
import {type Random} from '../../src/types/random.ts';
import {type Interruptions} from './interruptions.ts';
import {type SiteUnderTest, type SoakHost} from './site-under-test.ts';

/** Options of the departures. */
export type DepartureOptions = {
	clock: Clock;
	random: Random;
	site: SiteUnderTest;
	interruptions: Interruptions;
	/** Whether hosts also go without a word. */
	hasUnannouncedLosses: boolean;
};

type Departure = {weight: number; name: string; play: (host: SoakHost) => Promise<void>};

/** Hosts below which none leaves, so that the others have room for its tasks. */
const minHosts = 2;
const graceMs = 6000;
/** Time between SIGTERM to an agent and the end of its host. */
const hostEndMs = 1000;
const agentPollMs = 50;
const ownerLossShare = 0.6;
/** Share of the departures that are of a host with tasks. */
const occupiedShare = 0.8;
const secondOwnerLossShare = 0.3;

/** Plays departures until a signal aborts. */
export class HostDepartures {
	/** Number of departures played, by name. */
	readonly played = new Map<string, number>();
	readonly #options: DepartureOptions;
	readonly #departing = new Set<SoakHost>();
	readonly #kinds: Departure[];

	constructor(options: DepartureOptions) {
		this.#options = options;
		this.#kinds = [
			{weight: 3, name: 'departure: worker leaves', play: async host => this.#leave(host)},
			{weight: 2, name: 'departure: agent restarted', play: async host => this.#restartAgent(host)},
			{weight: 3, name: 'departure: agent stopped', play: async host => this.#stopHost(host)},
			...options.hasUnannouncedLosses ? [{weight: 2, name: 'departure: unannounced', play: async (host: SoakHost) => this.#loseHost(host)}] : [],
		];
	}

	/** Plays one departure after the other and begins none after `untilMs`; several calls of this side by side overlap theirs. */
	async run(signal: AbortSignal, untilMs: number): Promise<void> {
		const {clock, interruptions} = this.#options;
		while (!signal.aborted) {
			await clock.sleep(this.#draw(50, 1200), signal);
			const host = signal.aborted || clock.monotonicMs() > untilMs ? undefined : this.#pickHost();
			if (host) {
				await interruptions.play(async () => this.#depart(host));
			}
		}
	}

	/** Picks a host, often one with tasks; undefined: none can leave yet. */
	#pickHost(): SoakHost | undefined {
		const {site, random} = this.#options;
		const staying = site.hosts.filter(host => !this.#departing.has(host));
		if (staying.length < minHosts || !site.hasFreeAddress) {
			return undefined;
		}

		const occupied = staying.filter(({endpoint}) => endpoint.worker.running.size > 0);
		if (occupied.length === 0) {
			return undefined;
		}

		return random.next() < occupiedShare ? occupied[random.below(occupied.length)] : staying[random.below(staying.length)];
	}

	/** Plays one departure, often with the loss of the owner before, during or after it. */
	async #depart(host: SoakHost): Promise<void> {
		const {clock, random} = this.#options;
		let left = random.next() * this.#kinds.reduce((sum, {weight}) => sum + weight, 0);
		const {name, play} = this.#kinds.find(({weight}) => {
			left -= weight;
			return left < 0;
		})!;
		this.#departing.add(host);
		this.#count(name);
		const isOwnerLost = random.next() < ownerLossShare;
		const ownerLostAfterMs = this.#draw(-1000, 6000);
		const ownerLoss = isOwnerLost ? this.#loseOwners(Math.max(0, ownerLostAfterMs)) : undefined;
		await clock.sleep(isOwnerLost ? Math.max(0, -ownerLostAfterMs) : 0);
		await play(host);
		this.#departing.delete(host);
		await ownerLoss;
	}

	/** The worker drains, serves on, says that it leaves and ends; then the agent is told to stop. */
	async #leave(host: SoakHost): Promise<void> {
		const {clock, site} = this.#options;
		const {endpoint, process} = host;
		const servesForMs = this.#draw(2000, 4000);
		this.#note(`worker of ${process.name} drains, ${servesForMs} ms left`);
		const replacement = this.#replace(this.#draw(0, servesForMs + 2000));
		await endpoint.drain(servesForMs);
		await clock.sleep(servesForMs);
		await endpoint.leave();
		this.#note(`worker of ${process.name} has left`);
		await clock.sleep(this.#draw(0, 2500));
		await this.#waitForAgent(host);
		this.#note(`${process.name} gets SIGTERM for good`);
		await site.stopAgent(host, graceMs);
		site.removeHost(host, {isSilent: this.#drawIsSilent()});
		await replacement;
	}

	/** The agent is told to stop while its worker lives, and comes back. */
	async #restartAgent({process}: SoakHost): Promise<void> {
		const {clock, site: {processes}} = this.#options;
		const downMs = this.#draw(300, 3000);
		this.#note(`${process.name} gets SIGTERM, down for ${downMs} ms`);
		await processes.end(process, 'SIGTERM', graceMs);
		await clock.sleep(downMs);
		processes.start(process);
	}

	/** The agent is told to stop while its worker lives, and the host ends a second later. */
	async #stopHost(host: SoakHost): Promise<void> {
		const {clock, site} = this.#options;
		await this.#waitForAgent(host);
		this.#note(`${host.process.name} gets SIGTERM for good, its worker lives`);
		const replacement = this.#replace(this.#draw(0, 3000));
		await Promise.all([site.stopAgent(host, hostEndMs), clock.sleep(hostEndMs)]);
		this.#note(`${host.process.name} and its worker are gone`);
		site.removeHost(host, {isSilent: this.#drawIsSilent()});
		await replacement;
	}

	/** Agent and worker are gone without a word. */
	async #loseHost(host: SoakHost): Promise<void> {
		const {site} = this.#options;
		this.#note(`${host.process.name} and its worker are killed for good`);
		const replacement = this.#replace(this.#draw(0, 3000));
		site.removeHost(host, {isSilent: this.#drawIsSilent()});
		await replacement;
	}

	/** Waits for an agent that another fault keeps down or paused: a host whose agent gets no signal goes without a word. */
	async #waitForAgent({process}: SoakHost): Promise<void> {
		const {clock, hasUnannouncedLosses} = this.#options;
		if (hasUnannouncedLosses) {
			return;
		}

		while (process.isHeldDown || process.isPaused || !process.child) {
			await clock.sleep(agentPollMs);
		}
	}

	async #replace(afterMs: number): Promise<void> {
		const {clock, site} = this.#options;
		await clock.sleep(afterMs);
		const {process} = await site.addHost();
		this.#note(`${process.name} is new`);
	}

	async #loseOwners(afterMs: number): Promise<void> {
		await this.#loseOwner(afterMs);
		if (this.#options.random.next() < secondOwnerLossShare) {
			await this.#loseOwner(this.#draw(0, 3000));
		}
	}

	/** Kills the entry that owns the jobs and starts it again; does nothing while none is known, or while the last one is down. */
	async #loseOwner(afterMs: number): Promise<void> {
		const {clock, site} = this.#options;
		const downMs = this.#draw(100, 2000);
		await clock.sleep(afterMs);
		const process = site.findOwner()?.process;
		if (!process || process.isHeldDown) {
			return;
		}

		this.#count('owner killed');
		this.#note(`${process.name}, the owner, is killed, down for ${downMs} ms`);
		await site.processes.end(process, 'SIGKILL', 0);
		await clock.sleep(downMs);
		site.processes.start(process);
	}

	#drawIsSilent(): boolean {
		return this.#options.random.next() < 0.5;
	}

	#draw(min: number, max: number): number {
		return Math.round(min + (this.#options.random.next() * (max - min)));
	}

	#count(name: string): void {
		this.played.set(name, (this.played.get(name) ?? 0) + 1);
	}

	#note(text: string): void {
		this.#options.site.processes.note(`fault: ${text}`);
	}
}
