/**
Distinguishes workers on which every job fails from jobs that fail on every worker.

The blame for each failure is divided between worker and job, by the worker's failure rate with other jobs and the job's
failure rate on other workers. A worker with too much blame is held down, which means that nothing is started on it for a
time, and then probed with one task. A job with too much blame ends.
*/

const priorFailures = 0.2;
const priorEnds = 2;
const minBlame = 3;
const minBlameRate = 0.6;
const scoreHalfLifeMs = 600_000;
const maxHoldMs = 600_000;
// More bad workers than this at once indicate a common cause; holding them down would only lose their capacity.
const maxHeldShare = 0.25;
const minFailingWorkers = 3;
const maxJobs = 10_000;
const maxPairsPerJob = 64;

type Score = {
	failures: number;
	ends: number;
	blame: number;
	atMs: number;
};

/** A worker that may be held down, or probing: it then takes one task, which shows whether it has recovered. */
export type HealthSubject = {
	spec: {workerId: string};
	isHeld: boolean;
	isProbing: boolean;
};

/** Ended runs of one job on one worker. */
type PairScore = {
	failures: number;
	ends: number;
};

type JobScore = Score & {
	/** By worker, for the first workers on which the job ran. */
	pairs: Map<string, PairScore>;
	hasSucceeded: boolean;
};

type WorkerScore = Score & {
	jobs: Set<string>;
	holdMs: number;
	heldUntilMs: number;
};

/** End of one run. */
export type HealthReport<Subject extends HealthSubject = HealthSubject> = {
	jobId: string;
	worker: Subject;
	isSuccess: boolean;
	nowMs: number;
	fleetSize: number;
};

/** Failure scores of workers and jobs. */
export class WorkerHealth<Subject extends HealthSubject = HealthSubject> {
	readonly #jobs = new Map<string, JobScore>();
	readonly #workers = new Map<string, WorkerScore>();
	readonly #held = new Set<Subject>();
	readonly #options: {maxTries: number; holdMs: number};

	constructor(options: {maxTries: number; holdMs: number}) {
		this.#options = options;
	}

	/** Number of workers held down now. */
	get heldCount(): number {
		return this.#held.size;
	}

	/** Records the end of a run. Returns whether the worker's availability changed. */
	recordEnd(report: HealthReport<Subject>): boolean {
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
		return this.#holdIfFailing(report, score);
	}

	/** Gets why the job is to end, if it fails on every worker; undefined: it does not. */
	describeFailure(jobId: string, fleetSize: number): string | undefined {
		const job = this.#jobs.get(jobId);
		if (!job || job.hasSucceeded || job.blame < this.#options.maxTries / 2 || job.failures < this.#options.maxTries) {
			return undefined;
		}

		return job.pairs.size >= Math.min(minFailingWorkers, fleetSize)
			? `fails everywhere: ${job.failures} failures on ${job.pairs.size} workers, no success`
			: undefined;
	}

	/** Lets workers whose hold-down has expired take one task as a probe; returns them. */
	releaseHeld(nowMs: number): Subject[] {
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

	/** Deletes the score of a removed worker: a new worker of this id starts without one. */
	forget(worker: Subject): void {
		this.#held.delete(worker);
		this.#workers.delete(worker.spec.workerId);
		worker.isHeld = false;
		worker.isProbing = false;
	}

	#holdIfFailing({worker, nowMs, fleetSize}: HealthReport<Subject>, score: WorkerScore): boolean {
		const isBad = worker.isProbing
			? score.blame > 0.5
			: score.blame >= minBlame && score.jobs.size > 1 && score.blame / score.ends >= minBlameRate;
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
			if (this.#jobs.size > maxJobs) {
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

		const retained = 2 ** (-Math.max(0, nowMs - score.atMs) / scoreHalfLifeMs);
		score.failures *= retained;
		score.ends *= retained;
		score.blame *= retained;
		score.atMs = nowMs;
		return score;
	}
}

/** Worker's share of the blame: its failure rate with other jobs, against the job's failure rate on other workers. */
const getBlame = (worker: Score, job: Score, pair: PairScore): number => {
	const workerRate = getFailureRateWithout(worker, pair);
	const jobRate = getFailureRateWithout(job, pair);
	return workerRate / (workerRate + jobRate);
};

const getFailureRateWithout = ({failures, ends}: Score, pair: PairScore): number =>
	(Math.max(0, failures - pair.failures) + priorFailures) / (Math.max(0, ends - pair.ends) + priorEnds);

const getPair = (job: JobScore, workerId: string): PairScore => {
	const known = job.pairs.get(workerId);
	if (known) {
		return known;
	}

	const pair = {failures: 0, ends: 0};
	if (job.pairs.size < maxPairsPerJob) {
		job.pairs.set(workerId, pair);
	}

	return pair;
};
