/**
Stand-in for a minion: runs what it is told to start under one lease, lists what runs and has ended, and announces itself at its side machine's
control address. A task whose spec holds `work=MS` ends as done after that time; others last until they are stopped.
*/
import {createServer, request as sendRequest} from 'node:http';

const heartbeatMs = 1500;
const leaseCheckMs = 20;
const maxListed = 500;
const announceTimeoutMs = 1000;

const readJson = async request => {
	const chunks = [];
	for await (const chunk of request) {
		chunks.push(chunk);
	}

	return JSON.parse(Buffer.concat(chunks).toString());
};

/** A minion. */
export class Minion {
	id;
	isDown = false;
	/** Running tasks by name. */
	running = new Map();
	#ended = [];
	#lastNumber = 0;
	#lastRuns = new Map();
	#fence = 0;
	#leaseUntilMs = 0;
	#seq = 0;
	#lives = 0;
	#bornAtMs = 0;
	#server;
	#waiters = new Set();
	#isStopped = false;
	#timers = [];
	#options;

	/** Options: name, app and control addresses, service, zone, rack, hasBorn, stopGraceMs, maxHoldMs, capacity, record and onStart. */
	constructor(options) {
		this.#options = options;
	}

	get clockMs() {
		return Math.floor(performance.now() - this.#bornAtMs) + 1000;
	}

	get report() {
		const {service, app, zone, rack, capacity} = this.#options;
		return {
			service, address: app, zone, version: 'v1', slots: 8, state: 'ready', coldRemainingMs: 0, capacity, labels: ['a', rack], clockMs: this.clockMs, seq: ++this.#seq, ...this.#getBorn(),
		};
	}

	async start() {
		this.#begin();
		await this.#listen();
		this.#timers.push(setInterval(() => {
			this.#checkLease();
		}, leaseCheckMs), setInterval(() => {
			this.announce();
		}, heartbeatMs));
		this.announce();
	}

	stop() {
		this.#isStopped = true;
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		for (const run of this.running.values()) {
			clearTimeout(run.timer);
		}

		this.#server?.close();
		this.#server?.closeAllConnections();
	}

	/** Crashes: all that runs is gone, and a new incarnation comes after `downMs`. */
	crash(downMs) {
		if (this.isDown) {
			return;
		}

		this.isDown = true;
		this.#options.record(`${this.id} crashes with ${[...this.running.values()].map(({task, run}) => `${task}#${run}`).join(' ')}`);
		for (const {timer} of this.running.values()) {
			clearTimeout(timer);
		}

		this.running.clear();
		this.#server.close();
		this.#server.closeAllConnections();
		this.#timers.push(setTimeout(async () => {
			if (!this.#isStopped) {
				this.#begin();
				await this.#listen();
				this.isDown = false;
				this.announce();
			}
		}, downMs));
	}

	/** Sends a heartbeat. */
	async announce() {
		if (!this.isDown && !this.#isStopped) {
			await this.sendHeartbeat(this.id, this.report);
		}
	}

	/** Sends bytes or fields as a heartbeat to the control address; resolves to the status. */
	async sendHeartbeat(id, body) {
		const [host, port] = this.#options.control.split(':');
		return new Promise(resolve => {
			const text = typeof body === 'string' ? body : JSON.stringify(body);
			const request = sendRequest({
				host, port, method: 'PUT', path: `/instances/${id}`, agent: false, timeout: announceTimeoutMs, headers: {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)},
			}, response => {
				response.resume();
				resolve(response.statusCode);
			});
			request.on('timeout', () => {
				request.destroy();
			});
			request.on('error', () => {
				resolve(undefined);
			});
			request.end(text);
		});
	}

	#getBorn() {
		return this.#options.hasBorn ? {born: this.bornMs} : {};
	}

	#begin() {
		this.#lives++;
		this.id = `i-${this.#options.name}-${this.#lives}`;
		this.bornMs = Date.now();
		this.#bornAtMs = performance.now();
		this.#ended = [];
		this.#lastNumber = 0;
		this.#lastRuns = new Map();
		this.#fence = 0;
		this.#leaseUntilMs = 0;
		this.#seq = 0;
		this.#options.record(`${this.id} begins`);
	}

	async #listen() {
		this.#server = createServer(async (request, response) => {
			try {
				const {status, body} = await this.#handle(request, await readJson(request));
				const text = JSON.stringify({clockMs: this.clockMs, ...body});
				response.writeHead(status, {'content-type': 'application/json', 'instance-id': this.id, 'content-length': Buffer.byteLength(text)});
				response.end(text);
			} catch {
				response.destroy();
			}
		});
		this.#server.keepAliveTimeout = 0;
		const [host, port] = this.#options.app.split(':');
		await new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(Number(port), host, resolve);
		});
	}

	async #handle(request, order) {
		if ((request.headers['expect-instance'] ?? this.id) !== this.id) {
			return {status: 421, body: {}};
		}

		const fence = order.fence ?? 0;
		if (fence < this.#fence) {
			return {status: 409, body: {reason: 'fence'}};
		}

		this.#fence = fence;
		switch (request.url) {
			case '/run-start': {
				return this.#handleStart(order);
			}

			case '/run-stop': {
				this.#handleStop(order);
				return {status: 200, body: {}};
			}

			case '/pace': {
				return {status: 200, body: {}};
			}

			case '/hold': {
				return this.#handleHold(order);
			}

			default: {
				return {status: 400, body: {}};
			}
		}
	}

	#handleStart({task, run, spec = '', untilMs}) {
		const {record, onStart} = this.#options;
		if (this.running.get(task)?.run === run) {
			return {status: 200, body: {}};
		}

		if (run <= (this.#lastRuns.get(task) ?? 0) || this.running.has(task)) {
			this.#extend(untilMs);
			return {status: 409, body: {reason: 'old'}};
		}

		if (untilMs <= this.clockMs) {
			return {status: 409, body: {reason: 'late'}};
		}

		this.#extend(untilMs);
		const workMs = Number(/work=(\d+)/.exec(spec)?.[1] ?? 0);
		const started = {
			task, run, atMs: performance.now(), workMs,
		};
		if (workMs > 0) {
			started.timer = setTimeout(() => {
				this.#end(started, 'done');
			}, workMs);
		}

		this.running.set(task, started);
		record(`${this.id} starts ${task}#${run}`);
		onStart?.(this, task, run);
		return {status: 200, body: {}};
	}

	#handleStop({task, run}) {
		this.#lastRuns.set(task, Math.max(run, this.#lastRuns.get(task) ?? 0));
		const running = this.running.get(task);
		if (running?.run === run) {
			this.#timers.push(setTimeout(() => {
				this.#end(running, 'stopped');
			}, this.#options.stopGraceMs));
		}
	}

	async #handleHold({untilMs, seenUpto = 0, waitMs = 0}) {
		for (const [, task, run] of this.#ended.filter(([number]) => number <= seenUpto)) {
			this.#options.onNoted?.(this, task, run);
		}

		this.#ended = this.#ended.filter(([number]) => number > seenUpto);
		this.#extend(untilMs);
		if (waitMs > 0 && this.#ended.length === 0) {
			await new Promise(resolve => {
				const timer = setTimeout(done, waitMs);
				const waiters = this.#waiters;
				function done() {
					clearTimeout(timer);
					waiters.delete(done);
					resolve();
				}

				waiters.add(done);
			});
		}

		const running = [...this.running.values()].map(({task, run, atMs, workMs}) => {
			const elapsedMs = performance.now() - atMs;
			return [task, run, '', workMs > 0 ? Math.min(99, Math.floor(100 * elapsedMs / workMs)) : 100, 0];
		});
		return {status: 200, body: {running, ended: this.#ended.slice(0, maxListed), ...this.#getBorn()}};
	}

	#extend(untilMs) {
		if (untilMs !== undefined) {
			this.#leaseUntilMs = Math.max(this.#leaseUntilMs, Math.min(untilMs, this.clockMs + this.#options.maxHoldMs));
		}
	}

	#checkLease() {
		if (!this.isDown && this.clockMs > this.#leaseUntilMs) {
			for (const run of this.running.values()) {
				this.#end(run, 'lapsed');
			}
		}
	}

	#end(run, how) {
		if (this.running.get(run.task) !== run) {
			return;
		}

		clearTimeout(run.timer);
		this.running.delete(run.task);
		this.#lastRuns.set(run.task, Math.max(run.run, this.#lastRuns.get(run.task) ?? 0));
		this.#ended.push([++this.#lastNumber, run.task, run.run, how, '']);
		this.#options.record(`${this.id} ends ${run.task}#${run.run} ${how}`);
		this.#options.onEnd?.(this, run.task, run.run, how);
		for (const wake of this.#waiters) {
			wake();
		}
	}
}
