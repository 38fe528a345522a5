/**
A link to one process that can be cut, slowed down and reset.
*/
import {createServer, connect, type Socket} from 'node:net';
import {type Clock} from '../../src/types/clock.ts';
import {parseAddress} from '../../src/utils/address.ts';

const heldPollMs = 20;

/** Forwards connections to the target. */
export class LinkProxy {
	/** Whether bytes are held back in both directions. */
	isCut = false;
	/** Whether the host is gone: open connections stay without a word, and new ones get no answer. */
	isHostGone = false;
	/** Delay of each chunk towards the target, and back. */
	delayMs = 0;
	backDelayMs = 0;
	readonly #clock: Clock;
	readonly #target: {host: string; port: number};
	readonly #sockets = new Set<Socket>();
	readonly #server = createServer(socket => {
		this.#accept(socket);
	});

	constructor(clock: Clock, target: string) {
		this.#clock = clock;
		this.#target = parseAddress(target);
	}

	async listen(address: string): Promise<void> {
		const {host, port} = parseAddress(address);
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, host, resolve);
		});
	}

	resetConnections(): void {
		for (const socket of this.#sockets) {
			socket.resetAndDestroy();
		}
	}

	close(): void {
		this.#server.close();
		this.isCut = false;
		this.resetConnections();
	}

	#accept(client: Socket): void {
		if (this.isHostGone) {
			this.#sockets.add(client);
			client.on('error', () => undefined);
			return;
		}

		const target = connect(this.#target);
		for (const [from, to] of [[client, target], [target, client]] as const) {
			this.#sockets.add(from);
			from.setNoDelay(true);
			from.on('error', () => undefined);
			from.once('close', () => {
				this.#sockets.delete(from);
				if (!this.isHostGone) {
					to.destroy();
				}
			});
		}

		this.#forward(client, target, () => this.delayMs);
		this.#forward(target, client, () => this.backDelayMs);
	}

	#forward(from: Socket, to: Socket, getDelayMs: () => number): void {
		let last = Promise.resolve();
		from.on('data', chunk => {
			const dueAtMs = this.#clock.monotonicMs() + getDelayMs();
			last = this.#deliver(last, dueAtMs, () => {
				to.write(chunk);
			});
		});
	}

	async #deliver(previous: Promise<void>, dueAtMs: number, write: () => void): Promise<void> {
		await previous;
		await this.#clock.sleep(Math.max(0, dueAtMs - this.#clock.monotonicMs()));
		while (this.isCut) {
			await this.#clock.sleep(heldPollMs);
		}

		write();
	}
}
