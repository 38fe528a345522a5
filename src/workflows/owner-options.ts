/**
Options of the owner of a partition.
*/
import {type RegistrationReader} from '../agents/registration-reader.ts';
import {type Features} from '../core/site-features.ts';
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
	/** Number of partitions. */
	partitions: number;
	/** Gets the follower of any partition. */
	getFollower: (partition: number) => WorkflowFollower;
	/** Host of this entry. */
	host: string;
	/** Higher than that of all earlier owners. */
	epoch: number;
	leaseDurationMs: number;
	/** How long members of a gang wait for each other on their workers. */
	gangTimeoutMs: number;
	/** Time within which a cancelled job must have stopped. */
	cancelMs: number;
	getEvacuations: () => Evacuations;
	/** When the last answered heartbeat to the store was sent. */
	getHeartbeatAtMs: () => number;
	maxCallBytes: number;
	/** How long the store retains records. */
	retentionMs: number;
	/** Gets the service that is the home of a queue; undefined: it is not known. */
	getHome: (queue: string) => string | undefined;
	/** Reads the registrations of agents. */
	reader: RegistrationReader;
	/** Whether the agent's service belongs to the owned partition. */
	isOwned: (registration: AgentRegistration) => boolean;
	policy: Policy;
	features: Features;
	/** A newer owner is known. */
	onSuperseded: () => void;
	/** The store has dropped records that this owner has not read, so that its jobs have to be read anew. */
	onGap: () => void;
	note: (event: string, fields: Record<string, unknown>) => void;
};
