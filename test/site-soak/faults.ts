/**
Faults of a soak run, drawn from its seed, and series of them that are known to be hard.
*/
import {type Clock} from '../../src/types/clock.ts';
import {type Random} from '../../src/types/random.ts';
import {type FaultyServer, type FaultPolicy, Reply} from './faulty-server.ts';
import {type Interruptions} from './interruptions.ts';
import {type SiteProcess} from './site-processes.ts';
import {type SiteUnderTest, type SoakEntry, type SoakHost} from './site-under-test.ts';

/** Options of the faults. */
export type FaultOptions = {
	clock: Clock;
	random: Random;
	site: SiteUnderTest;
	interruptions: Interruptions;
};

type Play = () => Promise<void>;

const graceMs = 6000;
const appendPath = '/log-append';
/** Time within which an agent that nobody reaches is declared lost. */
const declareBoundMs = 9000;
const logPollMs = 50;
const group = 'owners';

/** Plays faults until a signal aborts. */
export class SoakFaults {
	/** Number of faults played, by name. */
	readonly played = new Map<string, number>();
	readonly #options: FaultOptions;
	readonly #kinds: Array<[number, string, Play]>;

	constructor(options: FaultOptions) {
		this.#options = options;
		this.#kinds = this.#createKinds();
	}

	/** Plays one fault after the other; several calls of this side by side overlap theirs. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, interruptions} = this.#options;
		while (!signal.aborted) {
			await clock.sleep(this.#draw(50, 1200), signal);
			if (!signal.aborted) {
				const [, name, play] = this.#drawKind();
				this.#count(name);
				await interruptions.play(play);
			}
		}
	}

	#drawKind(): [number, string, Play] {
		let left = this.#options.random.next() * this.#kinds.reduce((sum, [weight]) => sum + weight, 0);
		return this.#kinds.find(([weight]) => {
			left -= weight;
			return left < 0;
		})!;
	}

	#createKinds(): Array<[number, string, Play]> {
		const entry = () => this.#pick(this.#options.site.entries);
		const host = () => this.#pick(this.#options.site.hosts);
		return [
			[2, 'agent restarted', async () => this.#restart(host().process, this.#drawSignal(), this.#draw(100, 1000))],
			[1, 'agent away', async () => this.#restart(host().process, 'SIGKILL', this.#draw(1000, 6000))],
			[1, 'agent paused', async () => this.#pause(host().process, this.#draw(200, 4000))],
			[1, 'entry restarted', async () => this.#restart(entry().process, this.#drawSignal(), this.#draw(100, 2000))],
			[1, 'entry paused', async () => this.#pause(entry().process, this.#draw(200, 4000))],
			[1, 'entry short of processor', async () => this.#stutter(entry().process, this.#draw(2000, 7000))],
			[1, 'worker silent', async () => this.#silenceWorker(host(), this.#draw(300, 3500))],
			[1, 'worker crashed', async () => this.#crashWorker(host())],
			[1, 'worker leaves', async () => this.#drainWorker(host())],
			[1, 'worker answers lost', async () => this.#hit(host().endpoint.server, this.#sometimes(() => ({reply: Reply.Nothing})), this.#draw(500, 3000))],
			[1, 'worker orders late', async () => this.#hit(host().endpoint.server, this.#sometimes(() => ({reply: Reply.Nothing, delayMs: this.#draw(300, 4000)})), this.#draw(500, 3000))],
			[1, 'worker answers late', async () => this.#hit(host().endpoint.server, () => ({answerDelayMs: this.#draw(50, 650)}), this.#draw(500, 4000))],
			[1, 'worker connections reset', async () => {
				host().endpoint.server.resetConnections();
			}],
			[1, 'store silent', async () => this.#hitStores(() => ({isDropped: true, reply: Reply.Nothing}), this.#draw(300, 4500))],
			[1, 'store refuses', async () => this.#hitStores(() => ({isDropped: true, reply: Reply.Refusal}), this.#draw(300, 4500))],
			[2, 'store slow', async () => this.#slowAppends(this.#pickStores(), this.#draw(2000, 6000))],
			[1, 'store answers lost', async () => this.#hitStores(this.#sometimes(() => ({reply: Reply.Nothing})), this.#draw(500, 3000))],
			[1, 'store appends late', async () => {
				const policy: FaultPolicy = path => path === appendPath ? {reply: Reply.Nothing, delayMs: this.#draw(500, 3000)} : undefined;
				await this.#hitStores(this.#sometimes(policy), this.#draw(500, 3000));
			}],
			[1, 'store connections reset', async () => {
				for (const store of this.#pickStores()) {
					store.resetConnections();
				}
			}],
			[1, 'partitions dealt anew', async () => {
				this.#options.site.store.rebalance(group);
			}],
			[1, 'link cut', async () => this.#cutLink(host(), this.#draw(300, 6000))],
			[1, 'link slow', async () => this.#slowLinks([host()], this.#draw(1000, 5000))],
			[1, 'link reset', async () => {
				host().link.resetConnections();
			}],
			[2, 'series: agent restarted, worker silent', async () => this.#restartThenSilence(host())],
			[2, 'series: agent declared lost while it comes back', async () => this.#declareLate(host())],
			[2, 'series: old states after expired leases', async () => this.#expireLeases(host())],
			[1, 'series: takeover with a restarted agent', async () => {
				await Promise.all([this.#restart(entry().process, 'SIGKILL', this.#draw(500, 2000)), this.#restartThenSilence(host())]);
			}],
		];
	}

	/** Restarts an agent and silences its worker soon after. */
	async #restartThenSilence(host: SoakHost): Promise<void> {
		await this.#restart(host.process, 'SIGKILL', this.#draw(50, 600));
		await this.#options.clock.sleep(this.#draw(200, 1500));
		await this.#silenceWorker(host, this.#draw(700, 4000));
	}

	/** Cuts a host off from the entries, whose appends are slow, and restarts its agent when it is declared lost. */
	async #declareLate(host: SoakHost): Promise<void> {
		const {clock, site: {entries, processes}} = this.#options;
		const slow = this.#slowAppends(entries.map(({store}) => store), declareBoundMs);
		const sinceMs = Date.now();
		const endMs = clock.monotonicMs() + declareBoundMs;
		host.link.isCut = true;
		while (clock.monotonicMs() < endMs && !processes.lines.some(({time, text}) => time > sinceMs && text.includes('"agent lost"') && text.includes(`"${host.process.name}"`))) {
			await clock.sleep(logPollMs);
		}

		await this.#restart(host.process, 'SIGKILL', this.#draw(0, 100));
		host.link.isCut = false;
		await slow;
	}

	/** Lets a host's leases expire, then has its worker give no answer once and its states arrive late. */
	async #expireLeases(host: SoakHost): Promise<void> {
		const {clock, site} = this.#options;
		const links = this.#slowLinks([host], 11_000);
		const busy = this.#options.random.next() < 0.5 ? this.#stutter(this.#pick(site.entries).process, 11_000) : undefined;
		const outage = this.#hit(host.store, () => ({isDropped: true, reply: Reply.Nothing}), this.#draw(6500, 9000));
		const heldLink = this.#cutLink(host, this.#draw(5000, 8000));
		await Promise.all([outage, heldLink]);
		await clock.sleep(this.#draw(0, 300));
		await this.#silenceWorker(host, this.#draw(300, 1200));
		await Promise.all([links, busy]);
	}

	async #restart(target: SiteProcess, signal: NodeJS.Signals, downMs: number): Promise<void> {
		const {site: {processes}, clock} = this.#options;
		this.#note(`${target.name} gets ${signal}, down for ${downMs} ms`);
		await processes.end(target, signal, graceMs);
		await clock.sleep(downMs);
		processes.start(target);
	}

	async #pause(target: SiteProcess, forMs: number): Promise<void> {
		const {site: {processes}, clock} = this.#options;
		this.#note(`${target.name} paused for ${forMs} ms`);
		processes.pause(target);
		await clock.sleep(forMs);
		processes.resume(target);
	}

	/** Lets a process run for a small share of the time. */
	async #stutter(target: SiteProcess, forMs: number): Promise<void> {
		const {site: {processes}, clock} = this.#options;
		const endMs = clock.monotonicMs() + forMs;
		this.#note(`${target.name} runs now and then for ${forMs} ms`);
		while (clock.monotonicMs() < endMs) {
			processes.pause(target);
			await clock.sleep(this.#draw(50, 500));
			processes.resume(target);
			await clock.sleep(this.#draw(20, 100));
		}
	}

	async #silenceWorker({endpoint, process}: SoakHost, forMs: number): Promise<void> {
		this.#note(`worker of ${process.name} silent for ${forMs} ms`);
		await this.#hit(endpoint.server, () => ({isDropped: true, reply: Reply.Nothing}), forMs);
	}

	async #crashWorker({endpoint, process}: SoakHost): Promise<void> {
		const downMs = this.#draw(100, 2500);
		this.#note(`worker of ${process.name} crashes, down for ${downMs} ms`);
		endpoint.crash(downMs);
	}

	async #drainWorker({endpoint, process}: SoakHost): Promise<void> {
		this.#note(`worker of ${process.name} drains`);
		endpoint.worker.isDraining = true;
		await this.#options.clock.sleep(this.#draw(2500, 4000));
		endpoint.crash(this.#draw(300, 1500));
	}

	async #hit(server: FaultyServer, policy: FaultPolicy, forMs: number): Promise<void> {
		server.faults.add(policy);
		await this.#options.clock.sleep(forMs);
		server.faults.delete(policy);
	}

	async #hitStores(policy: FaultPolicy, forMs: number): Promise<void> {
		const stores = this.#pickStores();
		this.#note(`store of ${this.#getNames(stores)} hit for ${forMs} ms`);
		await Promise.all(stores.map(async store => this.#hit(store, policy, forMs)));
	}

	/** Delays appends, or their answers, by up to a second. */
	async #slowAppends(stores: FaultyServer[], forMs: number): Promise<void> {
		const maxMs = this.#draw(300, 950);
		const isAnswerLate = this.#options.random.next() < 0.5;
		this.#note(`appends of ${this.#getNames(stores)} take up to ${maxMs} ms for ${forMs} ms`);
		await Promise.all(stores.map(async store => this.#hit(store, path => path === appendPath ? {[isAnswerLate ? 'answerDelayMs' : 'delayMs']: this.#draw(maxMs / 2, maxMs)} : undefined, forMs)));
	}

	async #cutLink({link, process}: SoakHost, forMs: number): Promise<void> {
		this.#note(`link to ${process.name} cut for ${forMs} ms`);
		link.isCut = true;
		await this.#options.clock.sleep(forMs);
		link.isCut = false;
	}

	async #slowLinks(hosts: SoakHost[], forMs: number): Promise<void> {
		for (const {link, process} of hosts) {
			link.delayMs = this.#draw(0, 1900);
			link.backDelayMs = this.#draw(0, 1900);
			this.#note(`link to ${process.name} slow, ${link.delayMs} and ${link.backDelayMs} ms, for ${forMs} ms`);
		}

		await this.#options.clock.sleep(forMs);
		for (const {link} of hosts) {
			link.delayMs = 0;
			link.backDelayMs = 0;
		}
	}

	/** One process's store, or that of all. */
	#pickStores(): FaultyServer[] {
		const {site: {entries, hosts}, random} = this.#options;
		const all: Array<SoakEntry | SoakHost> = [...entries, ...hosts];
		return random.next() < 0.3 ? all.map(({store}) => store) : [this.#pick<SoakEntry | SoakHost>(random.next() < 0.5 ? entries : hosts).store];
	}

	#getNames(stores: FaultyServer[]): string {
		const {entries, hosts} = this.#options.site;
		const hit = [...entries, ...hosts].filter(({store}) => stores.includes(store));
		return hit.length === 1 ? hit[0]!.process.name : `${hit.length} processes`;
	}

	#sometimes(policy: FaultPolicy): FaultPolicy {
		return path => this.#options.random.next() < 0.5 ? policy(path) : undefined;
	}

	#drawSignal(): NodeJS.Signals {
		return this.#options.random.next() < 0.6 ? 'SIGKILL' : 'SIGTERM';
	}

	#draw(min: number, max: number): number {
		return Math.round(min + (this.#options.random.next() * (max - min)));
	}

	#pick<Value>(values: Value[]): Value {
		return values[this.#options.random.below(values.length)]!;
	}

	#count(name: string): void {
		this.played.set(name, (this.played.get(name) ?? 0) + 1);
		this.#note(name);
	}

	#note(text: string): void {
		this.#options.site.processes.note(`fault: ${text}`);
	}
}
