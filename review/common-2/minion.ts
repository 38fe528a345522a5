/**
Stand-in for a minion, as `PROTOCOL.md` describes it: starts, stops and lists runs under one lease, and announces itself to the process on its
machine. Where the page is silent it behaves like a sound minion.
*/
import {createHash} from 'node:crypto';
import {
	createServer, request as sendRequest, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type Socket} from 'node:net';

/** What a task does, by the job's `spec`. */
export type TaskPlan = {
	/** Work at full speed; undefined: the task lasts until it is stopped. */
	workMs: number | undefined;
	/** Number of tasks of the gang; 0: the step is no gang. */
	gangSize: number;
	isCheckpointing: boolean;
};

/** What happened to a run. */
export type RunEvent = {
	atMs: number;
	minion: string;
	service: string;
	event: 'start' | 'refused' | 'end' | 'noted' | 'lost';
	task: string;
	run: number;
	how?: string;
	checkpoint?: string;
};

type Run = {
	task: string;
	run: number;
	plan: TaskPlan;
	/** Work done before this run, by its checkpoint. */
	fromMs: number;
	checkpoint: string;
	/** When it began to work; undefined: a gang that is not complete. */
	worksSinceMs: number | undefined;
	timer?: NodeJS.Timeout;
	waitTimer?: NodeJS.Timeout;
};

type Body = {
	task: string;
	run: number;
	spec: string;
	untilMs?: number;
	fence?: number;
	checkpoint?: string;
	seenUpto?: number;
	waitMs?: number;
};
type Answer = {status: number; body: Record<string, unknown>};
type Ended = [number, string, number, string, string];

/** Bounds of the deployment. */
export type MinionBounds = {
	maxHoldMs: number;
	stopGraceMs: number;
	gangTimeoutMs: number;
	checkpointMs: number;
	restoreMs: number;
	heartbeatMs: number;
};

/** Options of a minion. */
export type MinionOptions = {
	service: string;
	zone: string;
	labels: string[];
	cpu: number;
	memMb: number;
	/** Address that its machine's process calls. */
	app: string;
	/** Address of its machine's process for heartbeats. */
	control: string;
	bounds: MinionBounds;
	gangs: Gangs;
	getPlan: (task: string, spec: string) => TaskPlan;
	onEvent: (event: RunEvent) => void;
};

const listedEnds = 500;
const announceTimeoutMs = 1000;
const leaseCheckMs = 20;
const pointDigits = 4;

/** Value of a checkpoint: the work that it stands for, and a digest of whose it is. */
const formatCheckpoint = (owner: string, point: number): string =>
	point === 0 ? '' : point.toString(16).padStart(pointDigits, '0') + createHash('sha256').update(`${owner} ${point}`).digest('hex').slice(0, 16 - pointDigits);

const getPoint = (checkpoint: string): number => checkpoint === '' ? 0 : Number.parseInt(checkpoint.slice(0, pointDigits), 16);

/** ID.K.STEP of a task. */
const getStepName = (task: string): string => task.slice(0, task.lastIndexOf('.'));

/** Runs of gangs, which work only together. */
export class Gangs {
	readonly #members = new Map<string, Map<string, {minion: Minion; run: Run}>>();

	/** Whether a member with this checkpoint fits the other members of its run: all must carry the same value. */
	fits({task, run}: Body, checkpoint: string): boolean {
		return [...this.#get(task, run).values()].every(member => member.run.checkpoint === checkpoint);
	}

	/** Adds a member; once all are there, they begin to work. */
	add(minion: Minion, run: Run): void {
		const members = this.#get(run.task, run.run);
		members.set(run.task, {minion, run});
		if (members.size === run.plan.gangSize) {
			for (const member of members.values()) {
				member.minion.begin(member.run);
			}
		}
	}

	/** Ends the other members of a run. */
	end({task, run}: Run, how: string): void {
		const members = this.#get(task, run);
		members.delete(task);
		for (const [other, member] of members) {
			members.delete(other);
			member.minion.end(member.run, how === 'done' ? 'done' : 'broken');
		}
	}

	#get(task: string, run: number): Map<string, {minion: Minion; run: Run}> {
		const key = `${getStepName(task)}#${run}`;
		const members = this.#members.get(key) ?? new Map<string, {minion: Minion; run: Run}>();
		this.#members.set(key, members);
		return members;
	}
}

/** The minion. */
export class Minion {
	id = '';
	isUp = false;
	readonly service: string;
	readonly #options: MinionOptions;
	readonly #sockets = new Set<Socket>();
	readonly #running = new Map<string, Run>();
	readonly #lastRuns = new Map<string, number>();
	readonly #waiters = new Set<() => void>();
	#server: Server | undefined;
	#ended: Ended[] = [];
	#ends = 0;
	#fence = 0;
	#leaseUntilMs = 0;
	#bornMs = 0;
	#seq = 0;
	#heartbeat: NodeJS.Timeout | undefined;
	#leaseCheck: NodeJS.Timeout | undefined;
	#downTimer: NodeJS.Timeout | undefined;
	#lives = 0;

	constructor(options: MinionOptions) {
		this.#options = options;
		this.service = options.service;
	}

	/** Starts a life of the minion: it has a new id, runs nothing and has seen no fencing token. */
	async start(): Promise<void> {
		const {app, bounds} = this.#options;
		this.id = `i-${createHash('sha256').update(`${app} ${++this.#lives}`).digest('hex').slice(0, 8)}`;
		this.#running.clear();
		this.#lastRuns.clear();
		this.#ended = [];
		this.#ends = 0;
		this.#fence = 0;
		this.#leaseUntilMs = 0;
		this.#seq = 0;
		this.#bornMs = performance.now() - 1000;
		this.isUp = true;
		const server = createServer(async (request, response) => {
			await this.#serve(request, response);
		});
		server.keepAliveTimeout = 60_000;
		server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.on('error', () => undefined);
			socket.once('close', () => {
				this.#sockets.delete(socket);
			});
		});
		this.#server = server;
		const [host, port] = app.split(':');
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(Number(port), host, resolve);
		});
		this.#leaseCheck = setInterval(() => {
			this.#checkLease();
		}, leaseCheckMs);
		this.#announce();
		this.#heartbeat = setInterval(() => {
			this.#announce();
		}, bounds.heartbeatMs);
	}

	/** Crashes the minion: it sends nothing, and all that runs on it is gone. It starts again after `downMs`; undefined: it does not. */
	crash(downMs?: number): void {
		this.isUp = false;
		clearInterval(this.#heartbeat);
		clearInterval(this.#leaseCheck);
		for (const run of this.#running.values()) {
			this.#clear(run);
			this.#note(run, 'lost');
			if (run.plan.gangSize > 0) {
				this.#options.gangs.end(run, 'lost');
			}
		}

		this.#running.clear();
		this.#server?.close();
		for (const socket of this.#sockets) {
			socket.resetAndDestroy();
		}

		if (downMs !== undefined) {
			this.#downTimer = setTimeout(async () => {
				await this.start();
			}, downMs);
		}
	}

	/** Ends the minion for good. */
	close(): void {
		clearTimeout(this.#downTimer);
		if (this.isUp) {
			this.crash();
		}
	}

	/** Tasks that run here, with how long each has worked. */
	get tasks(): Array<{task: string; run: number; workedMs: number}> {
		return [...this.#running.values()].map(({task, run, worksSinceMs}) => ({task, run, workedMs: worksSinceMs === undefined ? 0 : performance.now() - worksSinceMs}));
	}

	/** A run begins to work. */
	begin(run: Run): void {
		const {bounds} = this.#options;
		clearTimeout(run.waitTimer);
		run.worksSinceMs = performance.now() + (run.checkpoint === '' ? 0 : bounds.restoreMs);
		if (run.plan.workMs !== undefined) {
			run.timer = setTimeout(() => {
				this.end(run, 'done');
			}, run.worksSinceMs - performance.now() + Math.max(0, run.plan.workMs - run.fromMs));
		}
	}

	/** Ends a run, and with it the other members of its gang. */
	end(run: Run, how: string): void {
		if (this.#running.get(run.task) !== run) {
			return;
		}

		this.#clear(run);
		this.#running.delete(run.task);
		this.#lastRuns.set(run.task, Math.max(run.run, this.#lastRuns.get(run.task) ?? 0));
		this.#ended.push([++this.#ends, run.task, run.run, how, this.#getSaved(run)]);
		this.#note(run, 'end', how);
		if (run.plan.gangSize > 0) {
			this.#options.gangs.end(run, how);
		}

		for (const wake of this.#waiters) {
			wake();
		}
	}

	get #clockMs(): number {
		return Math.floor(performance.now() - this.#bornMs);
	}

	#clear(run: Run): void {
		clearTimeout(run.timer);
		clearTimeout(run.waitTimer);
	}

	#note({task, run, checkpoint}: Pick<Run, 'task' | 'run' | 'checkpoint'>, event: RunEvent['event'], how?: string): void {
		this.#options.onEvent({
			atMs: performance.now(), minion: this.id, service: this.service, event, task, run, checkpoint, ...(how !== undefined && {how}),
		});
	}

	#getWorkedMs({fromMs, worksSinceMs}: Run): number {
		return fromMs + (worksSinceMs === undefined ? 0 : Math.max(0, performance.now() - worksSinceMs));
	}

	#getSaved(run: Run): string {
		if (!run.plan.isCheckpointing) {
			return '';
		}

		// A gang has one state, whichever member saves it.
		const owner = run.plan.gangSize > 0 ? getStepName(run.task) : run.task;
		return formatCheckpoint(owner, Math.floor(this.#getWorkedMs(run) / this.#options.bounds.checkpointMs));
	}

	#checkLease(): void {
		if (this.#clockMs > this.#leaseUntilMs) {
			for (const run of this.#running.values()) {
				this.end(run, 'lapsed');
			}
		}
	}

	#extend(untilMs: number | undefined): void {
		if (untilMs !== undefined) {
			this.#leaseUntilMs = Math.max(this.#leaseUntilMs, Math.min(untilMs, this.#clockMs + this.#options.bounds.maxHoldMs));
		}
	}

	async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const chunks: Buffer[] = [];
		try {
			for await (const chunk of request) {
				chunks.push(chunk as Buffer);
			}
		} catch {
			return;
		}

		const life = this.#lives;
		const expected = request.headers['expect-instance'];
		const answer: Answer = expected !== undefined && expected !== this.id
			? {status: 421, body: {}}
			: await this.#handle(request.url ?? '', JSON.parse(Buffer.concat(chunks).toString() || '{}') as Body);
		if (!this.isUp || this.#lives !== life || response.destroyed) {
			return;
		}

		response.writeHead(answer.status, {'content-type': 'application/json', 'instance-id': this.id});
		response.end(JSON.stringify({clockMs: this.#clockMs, ...answer.body}));
	}

	async #handle(path: string, body: Body): Promise<Answer> {
		const fence = body.fence ?? 0;
		if (fence < this.#fence) {
			return {status: 409, body: {reason: 'fence'}};
		}

		this.#fence = fence;
		switch (path) {
			case '/run-start': {
				return this.#startRun(body);
			}

			case '/run-stop': {
				return this.#stopRun(body);
			}

			case '/pace': {
				return {status: 200, body: {}};
			}

			case '/hold': {
				return this.#hold(body);
			}

			default: {
				return {status: 404, body: {}};
			}
		}
	}

	#startRun(body: Body): Answer {
		const {
			task, run, spec, untilMs = 0, checkpoint = '',
		} = body;
		const {getPlan, gangs, bounds} = this.#options;
		if (this.#running.get(task)?.run === run) {
			return {status: 200, body: {}};
		}

		if (run <= (this.#lastRuns.get(task) ?? 0) || this.#running.has(task)) {
			this.#extend(untilMs);
			return {status: 409, body: {reason: 'old'}};
		}

		if (untilMs <= this.#clockMs) {
			return {status: 409, body: {reason: 'late'}};
		}

		const plan = getPlan(task, spec);
		if (plan.gangSize > 0 && !gangs.fits(body, checkpoint)) {
			this.#note({task, run, checkpoint}, 'refused', 'another checkpoint than the other members of the gang');
			return {status: 400, body: {}};
		}

		this.#extend(untilMs);
		const started: Run = {
			task, run, plan, checkpoint, fromMs: getPoint(checkpoint) * bounds.checkpointMs, worksSinceMs: undefined,
		};
		this.#running.set(task, started);
		this.#note(started, 'start');
		if (plan.gangSize > 0) {
			started.waitTimer = setTimeout(() => {
				this.end(started, 'alone');
			}, bounds.gangTimeoutMs);
			gangs.add(this, started);
		} else {
			this.begin(started);
		}

		return {status: 200, body: {}};
	}

	#stopRun({task, run}: Body): Answer {
		this.#lastRuns.set(task, Math.max(run, this.#lastRuns.get(task) ?? 0));
		const running = this.#running.get(task);
		if (running?.run === run) {
			setTimeout(() => {
				this.end(running, 'stopped');
			}, this.#options.bounds.stopGraceMs / 2);
		}

		return {status: 200, body: {}};
	}

	async #hold({untilMs, seenUpto = 0, waitMs = 0}: Body): Promise<Answer> {
		this.#extend(untilMs);
		for (const [number, task, run, how] of this.#ended) {
			if (number <= seenUpto) {
				this.#note({task, run, checkpoint: ''}, 'noted', how);
			}
		}

		this.#ended = this.#ended.filter(([number]) => number > seenUpto);
		if (waitMs > 0 && this.#ended.length === 0) {
			await new Promise<void>(resolve => {
				const wake = () => {
					clearTimeout(timer);
					this.#waiters.delete(wake);
					resolve();
				};

				const timer = setTimeout(wake, waitMs);
				this.#waiters.add(wake);
			});
		}

		const running = [...this.#running.values()].map(run => [run.task, run.run, this.#getSaved(run), this.#getPercent(run), 0]);
		return {status: 200, body: {running, ended: this.#ended.slice(0, listedEnds)}};
	}

	#getPercent(run: Run): number {
		if (run.plan.workMs === undefined) {
			return run.worksSinceMs !== undefined && performance.now() > run.worksSinceMs + 300 ? 100 : 50;
		}

		return Math.min(99, Math.floor(100 * this.#getWorkedMs(run) / run.plan.workMs));
	}

	#announce(): void {
		const {
			control, service, zone, labels, cpu, memMb, app,
		} = this.#options;
		const [host, port] = control.split(':');
		const body = JSON.stringify({
			service, address: app, zone, version: 'v1', slots: 8, state: 'ready', coldRemainingMs: 0, capacity: {cpu, memMb, gpu: 0}, labels, clockMs: this.#clockMs, seq: ++this.#seq,
		});
		const request = sendRequest({
			host, port, method: 'PUT', path: `/instances/${this.id}`, headers: {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)}, timeout: announceTimeoutMs, agent: false,
		}, response => {
			response.resume();
		});
		request.on('timeout', () => {
			request.destroy();
		});
		request.on('error', () => undefined);
		request.end(body);
	}
}
