/**
Calls between entries of one process, on any clock, with broken links, delays, lost answers, duplicates and reordering.
*/
import {createError, ErrorCode, getMessage} from '../core/errors.ts';
import {type Clock} from '../types/clock.ts';
import {type Random} from '../types/random.ts';
import {type PeerRequest, type PeerTransport, type PeerRequestHandler} from './peers-transport.ts';

/** Faults injected into calls between entries. */
export type NetworkFaults = {
	minDelayMs: number;
	maxDelayMs: number;
	loseRequestChance: number;
	loseAnswerChance: number;
	duplicateChance: number;
};

const noFaults: NetworkFaults = {
	minDelayMs: 0, maxDelayMs: 0, loseRequestChance: 0, loseAnswerChance: 0, duplicateChance: 0,
};

/** A network in memory; each entry gets its own transport from it. */
export class MemoryNetwork {
	faults: NetworkFaults = {...noFaults};
	calls = 0;
	readonly #servers = new Map<string, PeerRequestHandler>();
	readonly #brokenLinks = new Set<string>();
	readonly #clock: Clock;
	readonly #random: Random;
	#lastPort = 0;

	constructor(clock: Clock, random: Random) {
		this.#clock = clock;
		this.#random = random;
	}

	/** Breaks both directions between two addresses, or restores them. */
	setLinkBroken(a: string, b: string, isBroken: boolean): void {
		for (const link of [`${a}>${b}`, `${b}>${a}`]) {
			if (isBroken) {
				this.#brokenLinks.add(link);
			} else {
				this.#brokenLinks.delete(link);
			}
		}
	}

	restoreAllLinks(): void {
		this.#brokenLinks.clear();
	}

	/** Creates a transport for one entry. */
	createTransport(): PeerTransport {
		let ownAddress = '';
		return {
			listen: async (_address, serve) => {
				ownAddress = `127.0.0.1:${++this.#lastPort}`;
				this.#servers.set(ownAddress, serve);
				return ownAddress;
			},
			call: async (address, request, timeoutMs) => this.#call(ownAddress, address, structuredClone(request), timeoutMs),
			close: async () => {
				this.#servers.delete(ownAddress);
			},
		};
	}

	async #call(from: string, to: string, request: PeerRequest, timeoutMs: number): Promise<unknown> {
		this.calls++;
		const fail = (detail: string) => createError(ErrorCode.PeerUnavailable, {step: `call ${request.method}`, peer: to, detail});
		return new Promise<unknown>((resolve, reject) => {
			const timer = this.#clock.setTimer(() => {
				reject(fail('no answer in time'));
			}, timeoutMs);
			const deliver = () => {
				void this.#deliver(from, to, request, answer => {
					timer.cancel();
					answer.isOk ? resolve(answer.body) : reject(fail(answer.detail)); // eslint-disable-line @typescript-eslint/no-unused-expressions
				});
			};

			if (this.#random.next() < this.faults.loseRequestChance) {
				return;
			}

			this.#schedule(deliver);
			if (this.#random.next() < this.faults.duplicateChance) {
				this.#schedule(deliver);
			}
		});
	}

	async #deliver(from: string, to: string, request: PeerRequest, answer: (value: {isOk: true; body: unknown} | {isOk: false; detail: string}) => void): Promise<void> {
		const serve = this.#servers.get(to);
		if (!serve || this.#brokenLinks.has(`${from}>${to}`)) {
			return;
		}

		try {
			const body = structuredClone(await serve(structuredClone(request)));
			if (this.#brokenLinks.has(`${to}>${from}`) || this.#random.next() < this.faults.loseAnswerChance) {
				return;
			}

			this.#schedule(() => {
				answer({isOk: true, body});
			});
		} catch (error) {
			answer({isOk: false, detail: getMessage(error)});
		}
	}

	#schedule(action: () => void): void {
		const {minDelayMs, maxDelayMs} = this.faults;
		this.#clock.setTimer(action, minDelayMs + (this.#random.next() * (maxDelayMs - minDelayMs)));
	}
}
