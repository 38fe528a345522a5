/**
Finds jobs of a queue. The stream of the queue's home partition decides which jobs exist. A job that was accepted while operators sent the
queue to a service of another partition is run by the owner of that one, whose stream has the job's progress.
*/
import {getPartition} from '../core/partitions.ts';
import {type Clock} from '../types/clock.ts';
import {type QueueConfig} from '../types/site.ts';
import {isFinal, type FoldedWorkflow} from './folded-workflow.ts';
import {type WorkflowFollower} from './follower.ts';
import {type QueueHomes} from './queue-homes.ts';

/** Options of the places. */
export type JobPlacesOptions = {
	clock: Clock;
	partitions: number;
	homes: Pick<QueueHomes, 'get'>;
	getFollower: (partition: number) => WorkflowFollower;
};

/** Counts and states that callers get may be this old. */
const maxStalenessMs = 2000;

/**
Whether the owner of the partition runs the job, which is in the partition's stream. A job that started there without being transferred was
started by an owner of a version that transfers none.
*/
export const isRunIn = (partition: number, {workflow, hasBegun, isTransferred}: FoldedWorkflow, partitions: number): boolean =>
	getPartition(workflow.service, partitions) === partition || (hasBegun && !isTransferred);

/** Gets the service whose workers run the tasks of a job in the partition's stream. */
export const getRunService = ({workflow: {queue, service}}: FoldedWorkflow, {partition, partitions, getHome}: {partition: number; partitions: number; getHome: (queue: string) => string | undefined}): string =>
	// Such a job was started by an owner of a version that transfers none, on workers of the queue's home.
	getPartition(service, partitions) === partition ? service : getHome(queue) ?? service;

/** Whether the follower's view is recent enough for callers. */
export const isRecent = ({stalenessMs}: WorkflowFollower): boolean => stalenessMs !== undefined && stalenessMs <= maxStalenessMs;

/** Where the jobs of queues are, as one entry has read. */
export class JobPlaces {
	readonly #options: JobPlacesOptions;

	constructor(options: JobPlacesOptions) {
		this.#options = options;
	}

	/** Partition whose owner runs the queue's new jobs. */
	getServicePartition({service}: QueueConfig): number {
		return getPartition(service, this.#options.partitions);
	}

	/** Partition whose stream decides which jobs of the queue exist. A queue without a home has no jobs, except ones from versions that know no homes. */
	getHomePartition(queue: QueueConfig): number {
		return getPartition(this.#options.homes.get(queue) ?? queue.service, this.#options.partitions);
	}

	/** Gets a job with its progress. */
	getJob(queue: QueueConfig, id: string): FoldedWorkflow | undefined {
		const home = this.getHomePartition(queue);
		const accepted = this.#get(home, id);
		// Versions that know no homes store a job in the partition of the queue's service.
		return accepted ? this.#getLive(home, accepted) : this.#get(this.getServicePartition(queue), id);
	}

	/** Partitions that may have the job: a queue's home and one other, however often the queue has changed its service. */
	getCandidates(queue: QueueConfig, id: string): number[] {
		const home = this.getHomePartition(queue);
		const accepted = this.#get(home, id);
		return [...new Set([home, accepted ? getPartition(accepted.workflow.service, this.#options.partitions) : this.getServicePartition(queue)])];
	}

	/** Whether what is known of the job is recent; with an unknown job, whether it is recent that there is none. */
	isRecent(queue: QueueConfig, id: string): boolean {
		return this.getCandidates(queue, id).every(partition => isRecent(this.#options.getFollower(partition)));
	}

	/** Reads all that says where the job is and how far it is, as of the call; resolves to false if the store does not answer in time. */
	async catchUp(queue: QueueConfig, id: string, timeoutMs: number): Promise<boolean> {
		const {clock} = this.#options;
		const endAtMs = clock.monotonicMs() + timeoutMs;
		const partitions = this.getCandidates(queue, id);
		if (!await this.#catchUpAll(partitions, timeoutMs)) {
			return false;
		}

		return this.#catchUpAll(this.getCandidates(queue, id).filter(partition => !partitions.includes(partition)), endAtMs - clock.monotonicMs());
	}

	/** Counts the queue's jobs that have not started; undefined: no recent count is known in time. */
	async countPending(queue: QueueConfig, timeoutMs: number): Promise<number | undefined> {
		const partitions = this.#getPartitions(queue);
		const isKnown = partitions.every(partition => isRecent(this.#options.getFollower(partition))) || await this.#catchUpAll(partitions, timeoutMs);
		return isKnown ? this.#countPending(queue) : undefined;
	}

	#countPending(queue: QueueConfig): number {
		const {getFollower} = this.#options;
		const home = this.getHomePartition(queue);
		const partition = this.getServicePartition(queue);
		const {fold} = getFollower(home);
		const count = fold.countPending(queue.name, accepted => this.#getLive(home, accepted).state);
		// Jobs that only the other stream has are those of versions that know no homes.
		return partition === home ? count : count + getFollower(partition).fold.countPending(queue.name, ({workflow: {id}, state}) => fold.workflows.has(id) ? undefined : state);
	}

	/** Partitions that have unfinished jobs of the queue. */
	#getPartitions(queue: QueueConfig): number[] {
		const home = this.getHomePartition(queue);
		const partitions = new Set([home, this.getServicePartition(queue)]);
		for (const {workflow, state} of this.#options.getFollower(home).fold.workflows.values()) {
			if (workflow.queue === queue.name && !isFinal(state)) {
				partitions.add(getPartition(workflow.service, this.#options.partitions));
			}
		}

		return [...partitions];
	}

	/** The job as the owner that runs it has stored it. */
	#getLive(home: number, accepted: FoldedWorkflow): FoldedWorkflow {
		const {partitions} = this.#options;
		if (isRunIn(home, accepted, partitions)) {
			return accepted;
		}

		const live = this.#get(getPartition(accepted.workflow.service, partitions), accepted.workflow.id);
		// A cancellation is stored at home first.
		return live === undefined || (isFinal(accepted.state) && !isFinal(live.state)) ? accepted : live;
	}

	#get(partition: number, id: string): FoldedWorkflow | undefined {
		return this.#options.getFollower(partition).fold.workflows.get(id);
	}

	async #catchUpAll(partitions: number[], timeoutMs: number): Promise<boolean> {
		const areCaughtUp = await Promise.all(partitions.map(async partition => this.#options.getFollower(partition).catchUp(timeoutMs)));
		return areCaughtUp.every(Boolean);
	}
}
