/**
Mechanisms of the owner's decisions, each of which can be left out of a build for trials to measure what it is worth. What
ships has all of them; guards of what must always hold are none of these.
*/

/** One mechanism. */
export enum Mechanism {
	/** Run times learned from runs; without it, callers' estimates. */
	RunTimes = 'run-times',
	/** Order by value in prospect for each core-second left; without it, by the least time to spare. */
	ValueOrder = 'value-order',
	/** Room where nobody serves is kept for images that would disturb elsewhere. */
	UnservedRoom = 'unserved-room',
	/** Serving tasks of one image go together. */
	ServerGroups = 'server-groups',
	/** A job of which nothing runs starts one task where it disturbs. */
	IdleStart = 'idle-start',
	/** A task that fills waits for a place where it gets most of its speed; without it, any place with room. */
	FillWait = 'fill-wait',
	/** An image whose harm is not known is tried on few workers at once. */
	FewTrials = 'few-trials',
	/** Serving tasks stand close together, so that other workers are left to what fills. */
	ServerCompany = 'server-company',
	/** Runs that stand still are moved, or get a copy. */
	StallMoves = 'stall-moves',
	/** Runs that fill and are held at no pace are moved. */
	HeldMoves = 'held-moves',
	/** Runs that a draining worker would lose are moved. */
	DrainMoves = 'drain-moves',
	/** Harm that earlier owners learned is taken over. */
	HarmHandover = 'harm-handover',
	/** How far runs are is kept in the stream. */
	SavedRuns = 'saved-runs',
	/** Workers that fail what others do well are held down and probed. */
	WorkerHealth = 'worker-health',
}

/** Which mechanisms are in use. */
export type Policy = Record<Mechanism, boolean>;

/** Creates the policy with all mechanisms but those named, separated by commas. */
export const createPolicy = (leftOut = ''): Policy => {
	const names = new Set(leftOut.split(','));
	return Object.fromEntries(Object.values(Mechanism).map(mechanism => [mechanism, !names.has(mechanism)])) as Policy;
};
