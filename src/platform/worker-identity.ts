/**
Identity of a worker's incarnation. The platform lets a worker start again under the id that it had and tells its incarnations
apart by the time of their start; everywhere else one string stands for one incarnation.
*/

/** Ids of the platform have no such character. */
const separator = '@';

/** Formats the identity of an incarnation from the worker's id and the Unix time of its start in ms; undefined: the id alone stands for it. */
export const formatWorkerId = (instanceId: string, startedAtMs: number | undefined): string =>
	startedAtMs === undefined ? instanceId : `${instanceId}${separator}${startedAtMs}`;

/** Gets the id under which the platform knows the worker. */
export const getInstanceId = (workerId: string): string => {
	const end = workerId.lastIndexOf(separator);
	return end === -1 ? workerId : workerId.slice(0, end);
};

/** Whether the identity includes the time of the start. */
export const hasStartTime = (workerId: string): boolean => workerId.includes(separator);

const getStartedAtMs = (workerId: string): number => hasStartTime(workerId) ? Number(workerId.slice(workerId.lastIndexOf(separator) + 1)) : 0;

/** Bound on the ids that are remembered. */
const maxInstances = 20;

/** Newest incarnations that have announced themselves, for messages that give the id alone. */
export class AnnouncedWorkers {
	readonly #newest = new Map<string, string>();

	/** Records an announcement; a delayed one of an earlier incarnation changes nothing. */
	record(workerId: string): void {
		const instanceId = getInstanceId(workerId);
		if (getStartedAtMs(this.#newest.get(instanceId) ?? '') > getStartedAtMs(workerId)) {
			return;
		}

		this.#newest.delete(instanceId);
		this.#newest.set(instanceId, workerId);
		if (this.#newest.size > maxInstances) {
			this.#newest.delete(this.#newest.keys().next().value!);
		}
	}

	/** Gets the newest incarnation with the id; the id itself if none has announced itself. */
	getNewest(instanceId: string): string {
		return this.#newest.get(instanceId) ?? instanceId;
	}
}
