/**
Measures slots that stay idle while requests wait because slots are divided among entries: static shares compared with
shares that follow demand, on manual time with a seed.
*/
import {SlotClient, type RequestedShare} from '../requests/slot-client.ts';
import {divideByDemand, getWaitingPart} from '../requests/slot-policy.ts';
import {SlotMode, SlotShare} from '../requests/slot-share.ts';
import {SlotSponsor} from '../requests/slot-sponsor.ts';
import {ManualClock} from '../utils/manual-clock.ts';
import {createRandom} from '../utils/seeded-random.ts';

/** Methods of dividing slots among entries. */
export enum SlotDivision {
	/** Equal shares for the configured entries; remaining slots are not used. */
	Static = 'static',
	/** Leased shares that follow demand. */
	Leased = 'leased',
	/** A guard at each upstream admits requests; slots are not divided. */
	Guarded = 'guarded',
}

/** Conditions of one run. */
export type SlotsCondition = {
	seed: number;
	upstreamCount: number;
	slots: number;
	/** Part of the load that each entry gets; sums to one. */
	entryShares: number[];
	/** Interval after which each part moves to the next entry; 0: never. */
	rotateEveryMs: number;
	/** Offered load as a part of what all slots carry. */
	load: number;
	meanServiceMs: number;
	delayMs: number;
	periodMs: number;
	durationMs: number;
};

/** What one run measured. */
export type SlotsMeasurement = {
	division: SlotDivision;
	offered: number;
	completed: number;
	/** Slots that were idle while a request waited at some entry, as a part of all slots, averaged over time. */
	strandedShare: number;
	waitP50Ms: number;
	waitP99Ms: number;
	/** Messages about slots a second between all entries together. */
	messagesPerSecond: number;
	/** Most requests at once at one upstream; never more than its slots. */
	peakHeld: number;
};

/** Size of both users' installations, with the load spread evenly as by a load balancer. */
export const defaultSlotsCondition: SlotsCondition = {
	seed: 1, upstreamCount: 11, slots: 8, entryShares: [1 / 3, 1 / 3, 1 / 3], rotateEveryMs: 0, load: 0.8, meanServiceMs: 50, delayMs: 1.5, periodMs: 100, durationMs: 20_000,
};

const leaseMs = 5000;
const maxHoldMs = 30_000;
const firstMs = 1000;

/** Measures one division under one condition. */
export const measureSlots = (division: SlotDivision, condition: SlotsCondition): SlotsMeasurement => new SlotsRun(division, condition).run();

type SlotsEntry = {
	index: number;
	shares: SlotShare[];
	sponsor: SlotSponsor;
	clients: Map<number, SlotClient>;
	queue: number[];
};

type ShareRequest = {
	client: SlotClient;
	shares: RequestedShare[];
	/** Sent only to report slots that were returned. */
	isReport: boolean;
};

class SlotsRun {
	readonly #clock = new ManualClock();
	readonly #random;
	readonly #entries: SlotsEntry[];
	readonly #held: number[];
	readonly #waitsMs: number[] = [];
	readonly #division: SlotDivision;
	readonly #condition: SlotsCondition;
	#offered = 0;
	#completed = 0;
	#messages = 0;
	#strandedMs = 0;
	#lastMs = 0;
	#peakHeld = 0;

	constructor(division: SlotDivision, condition: SlotsCondition) {
		this.#division = division;
		this.#condition = condition;
		this.#random = createRandom(condition.seed);
		this.#held = Array.from({length: condition.upstreamCount}, () => 0);
		this.#entries = condition.entryShares.map((_, index) => this.#createEntry(index));
	}

	run(): SlotsMeasurement {
		const {durationMs} = this.#condition;
		if (this.#division === SlotDivision.Leased) {
			for (const entry of this.#entries) {
				this.#tick(entry);
			}
		}

		this.#clock.advanceSync(firstMs);
		this.#lastMs = this.#clock.monotonicMs();
		this.#arrive();
		this.#clock.advanceSync(durationMs);
		this.#account();
		const waits = this.#waitsMs.toSorted((a, b) => a - b);
		const total = this.#condition.upstreamCount * this.#condition.slots * durationMs;
		return {
			division: this.#division,
			offered: this.#offered,
			completed: this.#completed,
			strandedShare: this.#strandedMs / total,
			waitP50Ms: waits[Math.floor(waits.length * 0.5)] ?? 0,
			waitP99Ms: waits[Math.floor(waits.length * 0.99)] ?? 0,
			messagesPerSecond: this.#messages / (durationMs + firstMs) * 1000,
			peakHeld: this.#peakHeld,
		};
	}

	#createEntry(index: number): SlotsEntry {
		const {upstreamCount, slots, entryShares} = this.#condition;
		const shares = Array.from({length: upstreamCount}, () => {
			const share = new SlotShare(this.#clock, {
				incarnation: 1, mode: SlotMode.Sponsored, slots, connections: 64,
			});
			if (this.#division !== SlotDivision.Leased) {
				share.share = this.#division === SlotDivision.Static ? Math.floor(slots / entryShares.length) : slots;
				share.leaseEndMs = Number.POSITIVE_INFINITY;
			}

			return share;
		});
		const sponsor = new SlotSponsor({
			clock: this.#clock,
			ownId: String(index),
			leaseMs,
			maxHoldMs,
			divide: divideByDemand,
			getSponsorship: upstreamId => Number(upstreamId) % entryShares.length === index
				? {
					incarnation: 1, epoch: 1, startedAtMs: 0, validUntilMs: Number.POSITIVE_INFINITY, isFirst: true, slots,
				}
				: undefined,
		});
		const clients = new Map(entryShares.flatMap((_, other) => other === index ? [] : [[other, new SlotClient(String(index), String(other))] as const]));
		return {
			index, shares, sponsor, clients, queue: [],
		};
	}

	/** One period of an entry: grants itself shares of the upstreams that it sponsors, and requests shares of the others. */
	#tick(entry: SlotsEntry): void {
		const {periodMs, entryShares, upstreamCount} = this.#condition;
		const waiting = entry.queue.length;
		const first = this.#random.below(upstreamCount);
		const requested: RequestedShare[][] = entryShares.map(() => []);
		for (const [upstream, share] of entry.shares.entries()) {
			const wanted = share.measureWanted(getWaitingPart(waiting, (first + upstream) % upstreamCount, upstreamCount), waiting > 0, (upstream + 0.5) / upstreamCount);
			const sponsorIndex = upstream % entryShares.length;
			if (sponsorIndex === entry.index) {
				share.share = entry.sponsor.grantOwn(String(upstream), 1, {share: share.share, limit: share.getLimit(), wanted})!;
				share.leaseEndMs = this.#clock.monotonicMs() + leaseMs;
			} else {
				requested[sponsorIndex]!.push({upstreamId: String(upstream), share, wanted});
			}
		}

		for (const [other, client] of entry.clients) {
			this.#requestShares(entry, other, {client, shares: requested[other]!, isReport: false});
		}

		this.#serve(entry);
		this.#clock.setTimer(() => {
			this.#tick(entry);
		}, periodMs * (0.75 + (this.#random.next() / 2)));
	}

	#requestShares(entry: SlotsEntry, other: number, {client, shares, isReport}: ShareRequest): void {
		const {delayMs} = this.#condition;
		const request = client.compose(shares, this.#clock.monotonicMs());
		if (!request) {
			return;
		}

		this.#messages++;
		this.#clock.setTimer(() => {
			const answer = this.#entries[other]!.sponsor.answer(request.message);
			this.#clock.setTimer(() => {
				const {hasShrunk} = client.apply(request, answer, leaseMs);
				this.#serve(entry);
				if (hasShrunk && !isReport) {
					this.#requestShares(entry, other, {client, shares, isReport: true});
				}
			}, delayMs);
		}, delayMs);
	}

	#arrive(): void {
		const {load, upstreamCount, slots, meanServiceMs, durationMs} = this.#condition;
		this.#account();
		if (this.#clock.monotonicMs() > firstMs + durationMs) {
			return;
		}

		this.#offered++;
		const entry = this.#entries[this.#pickEntry()]!;
		entry.queue.push(this.#clock.monotonicMs());
		this.#serve(entry);
		const meanGapMs = meanServiceMs / (load * upstreamCount * slots);
		this.#clock.setTimer(() => {
			this.#arrive();
		}, -Math.log(1 - this.#random.next()) * meanGapMs);
	}

	#pickEntry(): number {
		const {entryShares, rotateEveryMs} = this.#condition;
		let left = this.#random.next();
		const index = Math.max(0, entryShares.findIndex(share => {
			left -= share;
			return left < 0;
		}));
		const turns = rotateEveryMs === 0 ? 0 : Math.floor(this.#clock.monotonicMs() / rotateEveryMs);
		return (index + turns) % entryShares.length;
	}

	#serve(entry: SlotsEntry): void {
		const {meanServiceMs, slots} = this.#condition;
		while (entry.queue.length > 0) {
			const upstream = this.#findFree(entry);
			const share = entry.shares[upstream];
			// With a guard, a slot is free if the guard would admit a request.
			if (!share || this.#held[upstream]! >= slots) {
				return;
			}

			this.#account();
			const hold = share.tryTake(maxHoldMs, () => undefined)!;
			this.#held[upstream]!++;
			this.#peakHeld = Math.max(this.#peakHeld, this.#held[upstream]!);
			this.#waitsMs.push(this.#clock.monotonicMs() - entry.queue.shift()!);
			this.#clock.setTimer(() => {
				this.#account();
				hold.release();
				this.#held[upstream]!--;
				this.#completed++;
				this.#serve(entry);
				if (this.#division === SlotDivision.Guarded) {
					this.#serveAll();
				}
			}, Math.min(maxHoldMs, -Math.log(1 - this.#random.next()) * meanServiceMs));
		}
	}

	#serveAll(): void {
		for (const entry of this.#entries) {
			this.#serve(entry);
		}
	}

	#findFree(entry: SlotsEntry): number {
		const isGuarded = this.#division === SlotDivision.Guarded;
		let best = -1;
		let bestFree = 0;
		for (const [upstream, share] of entry.shares.entries()) {
			const free = isGuarded ? this.#condition.slots - this.#held[upstream]! : share.free;
			if (free > bestFree) {
				best = upstream;
				bestFree = free;
			}
		}

		return best;
	}

	/** Adds the slot time that was stranded since the last change. */
	#account(): void {
		const nowMs = this.#clock.monotonicMs();
		const {upstreamCount, slots} = this.#condition;
		const idle = (upstreamCount * slots) - this.#held.reduce((sum, held) => sum + held, 0);
		const waiting = this.#entries.reduce((sum, {queue}) => sum + queue.length, 0);
		this.#strandedMs += Math.min(idle, waiting) * (nowMs - this.#lastMs);
		this.#lastMs = nowMs;
	}
}
