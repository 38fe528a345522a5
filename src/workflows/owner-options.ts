/**
What an owner of a partition is given.
*/
import {type AdviceClient} from '../types/advice.ts';
import {type Clock} from '../types/clock.ts';
import {type AgentRegistration} from '../types/fleet.ts';
import {type Evacuations} from '../types/site.ts';
import {type StoreClient} from '../types/store.ts';
import {type AgentClient} from './agent-links.ts';
import {type WorkflowFollower} from './follower.ts';
import {type Policy} from './policy.ts';

/** Options of an owner. */
export type OwnerOptions = {
	store: StoreClient;
	clock: Clock;
	client: AgentClient;
	/** Undefined: the site has no advice service. */
	adviceClient: AdviceClient | undefined;
	follower: WorkflowFollower;
	partition: number;
	/** Name of this entry. */
	host: string;
	/** Higher than that of any owner before. */
	epoch: number;
	leaseHorizonMs: number;
	/** Time within which a cancelled job must have stopped. */
	cancelMs: number;
	getEvacuations: () => Evacuations;
	/** When the newest heartbeat that the store has answered was sent. */
	getReachedAtMs: () => number;
	maxCallBytes: number;
	/** How long the store keeps records. */
	keptMs: number;
	isMine: (registration: AgentRegistration) => boolean;
	policy: Policy;
	/** A newer owner is known. */
	onDeposed: () => void;
	note: (event: string, fields: Record<string, unknown>) => void;
};
