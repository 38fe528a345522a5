/**
Mechanisms of the owner's decisions. A build for experiments can leave each of them out to measure its benefit; production
builds have all. Safety checks are not among them.
*/

/** One mechanism. */
export enum Mechanism {
	/** Run times learned from runs; without it, callers' estimates. */
	RunTimes = 'run-times',
	/** Order by expected value per remaining core-second; without it, by least slack. */
	ValueOrder = 'value-order',
	/** Workers without latency-critical tasks are reserved, while short, for images that would interfere elsewhere. */
	InterferenceFreeReserve = 'unserved-room',
	/** Latency-critical tasks of one image are colocated. */
	SameImageColocation = 'server-groups',
	/** A job without an active run starts one task even where it interferes with latency-critical tasks. */
	IdleStart = 'idle-start',
	/** A best-effort task waits for a worker where it gets most of its speed; without it, any worker with capacity. */
	BestEffortWait = 'fill-wait',
	/** An image whose interference is unknown runs on few workers at the same time. */
	FewTrials = 'few-trials',
	/** Latency-critical tasks are packed onto few workers, which leaves other workers to best-effort tasks. */
	LatencyCriticalPacking = 'server-company',
	/** Stalled runs are moved, or get a copy. */
	StallMoves = 'stall-moves',
	/** Best-effort runs that are throttled to almost nothing are moved. */
	ThrottledMoves = 'held-moves',
	/** Runs that would not end before their draining worker stops are moved. */
	DrainMoves = 'drain-moves',
	/** Interference that earlier owners learned is restored. */
	InterferenceHandover = 'harm-handover',
	/** Checkpoints of active runs are kept in the stream. */
	RunCheckpoints = 'saved-runs',
	/** Workers that fail tasks which succeed elsewhere are held down and probed. */
	WorkerHealth = 'worker-health',
}

/** Which mechanisms are enabled. */
export type Policy = Record<Mechanism, boolean>;

/** Creates the policy with all mechanisms except those in the comma-separated list. */
export const createPolicy = (disabled = ''): Policy => {
	const names = new Set(disabled.split(','));
	return Object.fromEntries(Object.values(Mechanism).map(mechanism => [mechanism, !names.has(mechanism)])) as Policy;
};
