/**
Where a process stands: its addresses, what is around it, and the bounds that hold there. Read from the platform.
*/

/** Bounds and durations of a site. */
export type SiteBounds = {
	/** A configuration that was acknowledged is in force within this time. */
	configApplyMs: number;
	/** A worker that drains gets no task later than this after its announcement was acknowledged. */
	drainMs: number;
	/** Longest lease that a worker grants. */
	maxLeaseMs: number;
	/** A stop takes at most this long. */
	stopMs: number;
	/** Members of a gang wait so long for each other. */
	gangWaitMs: number;
	/** A cancelled job has nothing running after this time. */
	cancelMs: number;
	/** A repeated job starts at most so early. */
	earlyMs: number;
	/** The state of a job is known for so long after its end. */
	statusKeptMs: number;
	/** A task far from its data, or a step spread over racks, takes so many times as long. */
	farFactor: number;
	checkpointEveryMs: number;
	restoreMs: number;
	/** A pace is in force after this time. */
	paceMs: number;
	/** A serving task may miss its target for so long on end. */
	harmMs: number;
	/** A task that was away for so long counts as away whatever the cause. */
	awayMs: number;
	/** Time between SIGTERM and SIGKILL. */
	graceMs: number;
};

/** Settings of a process, as the platform gives them. */
export type SiteSettings = {
	hostName: string;
	ip: string;
	failureDomain: string;
	/** Where callers connect; only on hosts that callers reach. */
	callersAddress?: string;
	readinessAddress?: string;
	/** Where a worker announces itself; only beside a worker. */
	announceAddress?: string;
	/** The worker beside this process, and its service. */
	workerAddress?: string;
	workerService?: string;
	/** Ports for calls between the program's own processes. */
	internalPorts: [number, number];
	adviceAddress?: string;
	/** Processors that this process may use. */
	processors: number;
	store: {
		address: string;
		partitions: number;
		minMemberTtlMs: number;
		/** How long records are kept. */
		keptMs: number;
		maxCallBytes: number;
	};
	bounds: SiteBounds;
};

/** A queue that callers hand jobs in to. */
export type QueueConfig = {
	name: string;
	host: string;
	pathPrefix: string;
	service: string;
	/** 0 comes first. */
	priority: number;
	maxAttempts: number;
	stretch: number;
	targetLatencyMs: number;
	timeoutMs: number;
	/** Steps of this queue may run only where the advice service says; undefined: anywhere. */
	advice?: {decisionMs: number; perWorkerMs: number; validMs: number};
};

/** Failure domains that operators have asked to empty: nothing more is started there until they take the request back. */
export type Evacuations = {
	/** Offset in the operators' stream up to which this holds: of two, the one with the higher offset is newer. */
	asOf: number;
	failureDomains: string[];
};

/** What the operators last declared for a site. */
export type SiteConfig = {
	version: number;
	queues: QueueConfig[];
	services: Array<{name: string; guardsCapacity: boolean; isSpare: boolean}>;
	limits: {maxBodyBytes: number; maxHeaderBytes: number; headerTimeoutMs: number; idleTimeoutMs: number};
};
