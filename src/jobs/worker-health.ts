/**
Tells workers that fail everything from jobs that fail everywhere.

Each failure is divided between its worker and its job by how often the worker fails other jobs and how often the job
fails on other workers. A worker that bears the blame is held down and probed; a job that bears it ends.
*/

const priorFailures = 0.2;
const priorEnds = 2;
const leastBlame = 3;
const badRate = 0.6;
const fadeMs = 600_000;
const maxHoldMs = 600_000;
// More bad workers than this at once point to a common cause; holding them down would only lose their room.
const maxHeldShare = 0.25;
const leastWorkers = 3;
const keptJobs = 10_000;
const keptPairs = 64;

type Score = {
	failures: number;
	ends: number;
	blame: number;
	atMs: number;
};

/** What the scores say of a worker: held down, or open for one task that shows whether it has recovered. */
export type HealthSubject = {
	spec: {workerId: string};
	isHeld: boolean;
	isProbing: boolean;
};

/** Ends of one job on one worker. */
type PairScore = {
	failures: number;
	ends: number;
};

type JobScore = Score & {
	/** By worker, for the first of those on which it failed. */
	pairs: Map<string, PairScore>;
	hasSucceeded: boolean;
};

type WorkerScore = Score & {
	jobs: Set<string>;
	holdMs: number;
	heldUntilMs: number;
};

/** How a task ended, for the blame. */
export type HealthReport<Subject extends HealthSubject = HealthSubject> = {
	jobId: string;
	worker: Subject;
	isSuccess: boolean;
	nowMs: number;
	fleetSize: number;
};

/** Keeps the scores of workers and jobs. */
export class WorkerHealth<Subject extends HealthSubject = HealthSubject> {
	readonly #jobs = new Map<string, JobScore>();
	readonly #workers = new Map<string, WorkerScore>();
	readonly #held = new Set<Subject>();
	readonly #options: {maxTries: number; holdMs: number};

	constructor(options: {maxTries: number; holdMs: number}) {
		this.#options = options;
	}

	/** Workers held down now. */
	get heldCount(): number {
		return this.#held.size;
	}

	/** Learns from an end. Returns whether the worker's availability changed. */
	note(report: HealthReport<Subject>): boolean {
		const {jobId, worker, isSuccess, nowMs} = report;
		const job = this.#getJob(jobId, nowMs);
		const score = this.#getWorker(worker.spec.workerId, nowMs);
		const pair = getPair(job, worker.spec.workerId);
		const workerBlame = getBlame(score, job, pair);
		for (const each of [job, score, pair]) {
			each.ends++;
			each.failures += isSuccess ? 0 : 1;
		}

		if (isSuccess) {
			job.hasSucceeded = true;
			score.blame = Math.max(0, score.blame - 1);
			return this.#endProbe(worker, score);
		}

		score.jobs.add(jobId);
		job.blame += 1 - workerBlame;
		score.blame += workerBlame;
		return this.#judge(report, score);
	}

	/** Says why the job ends, when it fails everywhere. */
	describeFailure(jobId: string, fleetSize: number): string | undefined {
		const job = this.#jobs.get(jobId);
		if (!job || job.hasSucceeded || job.blame < this.#options.maxTries / 2 || job.failures < this.#options.maxTries) {
			return undefined;
		}

		return job.pairs.size >= Math.min(leastWorkers, fleetSize)
			? `fails everywhere: ${job.failures} failures on ${job.pairs.size} workers, no success`
			: undefined;
	}

	/** Lets workers whose time is over take one task as a probe; returns them. */
	release(nowMs: number): Subject[] {
		const released: Subject[] = [];
		for (const worker of this.#held) {
			if (this.#getWorker(worker.spec.workerId, nowMs).heldUntilMs <= nowMs) {
				this.#held.delete(worker);
				worker.isHeld = false;
				worker.isProbing = true;
				released.push(worker);
			}
		}

		return released;
	}

	/** Forgets a worker that is gone: its successor starts afresh. */
	forget(worker: Subject): void {
		this.#held.delete(worker);
		this.#workers.delete(worker.spec.workerId);
		worker.isHeld = false;
		worker.isProbing = false;
	}

	#judge({worker, nowMs, fleetSize}: HealthReport<Subject>, score: WorkerScore): boolean {
		const isBad = worker.isProbing
			? score.blame > 0.5
			: score.blame >= leastBlame && score.jobs.size > 1 && score.blame / score.ends >= badRate;
		if (!isBad || worker.isHeld || this.#held.size + 1 > Math.max(1, maxHeldShare * fleetSize)) {
			return false;
		}

		score.holdMs = Math.min(maxHoldMs, score.holdMs === 0 ? this.#options.holdMs : score.holdMs * 2);
		score.heldUntilMs = nowMs + score.holdMs;
		score.jobs.clear();
		worker.isHeld = true;
		worker.isProbing = false;
		this.#held.add(worker);
		return true;
	}

	#endProbe(worker: HealthSubject, score: WorkerScore): boolean {
		if (!worker.isProbing) {
			return false;
		}

		worker.isProbing = false;
		score.blame = 0;
		score.failures = 0;
		score.ends = 1;
		return true;
	}

	#getJob(jobId: string, nowMs: number): JobScore {
		let score = this.#jobs.get(jobId);
		if (!score) {
			score = {
				failures: 0, ends: 0, blame: 0, atMs: nowMs, pairs: new Map(), hasSucceeded: false,
			};
			this.#jobs.set(jobId, score);
			if (this.#jobs.size > keptJobs) {
				this.#jobs.delete(this.#jobs.keys().next().value!);
			}
		}

		return score;
	}

	#getWorker(workerId: string, nowMs: number): WorkerScore {
		let score = this.#workers.get(workerId);
		if (!score) {
			score = {
				failures: 0, ends: 0, blame: 0, atMs: nowMs, jobs: new Set(), holdMs: 0, heldUntilMs: 0,
			};
			this.#workers.set(workerId, score);
		}

		const kept = 2 ** (-Math.max(0, nowMs - score.atMs) / fadeMs);
		score.failures *= kept;
		score.ends *= kept;
		score.blame *= kept;
		score.atMs = nowMs;
		return score;
	}
}

/** Share of a failure that the worker bears: how often it fails other jobs, against how often the job fails elsewhere. */
const getBlame = (worker: Score, job: Score, pair: PairScore): number => {
	const workerRate = getRateWithout(worker, pair);
	const jobRate = getRateWithout(job, pair);
	return workerRate / (workerRate + jobRate);
};

const getRateWithout = ({failures, ends}: Score, pair: PairScore): number =>
	(Math.max(0, failures - pair.failures) + priorFailures) / (Math.max(0, ends - pair.ends) + priorEnds);

const getPair = (job: JobScore, workerId: string): PairScore => {
	const known = job.pairs.get(workerId);
	if (known) {
		return known;
	}

	const pair = {failures: 0, ends: 0};
	if (job.pairs.size < keptPairs) {
		job.pairs.set(workerId, pair);
	}

	return pair;
};
