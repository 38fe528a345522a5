/**
Followers of the jobs streams of one simulated entry, created when they are first asked for.
*/
import {type Clock} from '../src/types/clock.ts';
import {type StoreClient} from '../src/types/store.ts';
import {WorkflowFollower} from '../src/workflows/follower.ts';
import {Followers} from '../src/workflows/followers.ts';
import {workflowsTopic} from '../src/workflows/records.ts';

/** Creates the followers; they follow until the signal aborts. */
export const createFollowers = (store: StoreClient, clock: Clock, signal: AbortSignal) => {
	const followers = new Followers(partition => {
		const follower = new WorkflowFollower({
			store, clock, ref: {topic: workflowsTopic, partition}, onStoreState: () => undefined, onInvalid: () => undefined,
		});
		void follower.run(signal);
		return follower;
	});
	return {followers, getFollower: (partition: number): WorkflowFollower => followers.get(partition)};
};
