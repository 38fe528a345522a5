/**
Settings of a site and its processes: addresses, the store, and time limits, as given by the platform and its operators.
*/

/** Time limits and other bounds of a site. */
export type SiteBounds = {
	/** An acknowledged configuration is in effect within this time. */
	configApplyMs: number;
	/** A draining worker gets no task later than this after its announcement was acknowledged. */
	drainMs: number;
	/** Longest lease that a worker accepts. */
	maxLeaseMs: number;
	/** A stop takes at most this long. */
	stopMs: number;
	/** How long members of a gang wait for each other. */
	gangTimeoutMs: number;
	/** Nothing of a cancelled job runs after this time. */
	cancelMs: number;
	/** An occurrence of a repeated job starts at most this long before it is due. */
	maxEarlyStartMs: number;
	/** How long the state of a job is available after its end. */
	statusRetentionMs: number;
	/** Factor on the run time of a task far from its data, or of a step that is spread over racks. */
	remoteSlowdownFactor: number;
	checkpointIntervalMs: number;
	restoreMs: number;
	/** A throttle is in effect after this time. */
	throttleDelayMs: number;
	/** Longest time for which a latency-critical task may miss its target without a break. */
	maxTargetMissMs: number;
	/** A task that was unavailable for this long counts as unavailable, whatever the cause. */
	unavailableAfterMs: number;
	/** Time between SIGTERM and SIGKILL. */
	graceMs: number;
	/** Whether workers may be slow for a while after their start. */
	hasColdWorkers: boolean;
	/** Nothing starts in a failure domain later than this after the request to evacuate it; undefined: operators evacuate none. */
	evacuationMs?: number;
};

/** Settings of a process, as given by the platform. */
export type SiteSettings = {
	hostName: string;
	ip: string;
	failureDomain: string;
	/** Address for callers; only on hosts that callers can reach. */
	callersAddress?: string;
	readinessAddress?: string;
	/** Address for the announcements of the worker; only on a worker's host. */
	announceAddress?: string;
	/** The worker on this host, and its service. */
	workerAddress?: string;
	workerService?: string;
	/** Ports for calls between the program's own processes. */
	internalPorts: [number, number];
	adviceAddress?: string;
	/** Processors that this process may use. */
	processors: number;
	/** Limit of the host's link; undefined: not known. */
	linkMbps?: number;
	store: {
		address: string;
		partitions: number;
		minMemberTtlMs: number;
		/** How long records are retained. */
		retentionMs: number;
		maxCallBytes: number;
	};
	bounds: SiteBounds;
};

/** A queue that callers submit jobs to. */
export type QueueConfig = {
	name: string;
	host: string;
	pathPrefix: string;
	service: string;
	/** Lower values come first; 0 is the highest priority. */
	priority: number;
	maxAttempts: number;
	/** See `Workflow.stretch`. */
	stretch: number;
	targetLatencyMs: number;
	timeoutMs: number;
	/** Steps of this queue may run only on workers that the advice service permits; undefined: on any. */
	advice?: {decisionMs: number; perWorkerMs: number; validMs: number};
};

/** Failure domains that operators have requested to evacuate: no task is started there until they withdraw the request. */
export type Evacuations = {
	/** Offset in the operators' stream up to which the list is valid; of two lists, the one with the higher offset is newer. */
	asOf: number;
	failureDomains: string[];
};

/** Latest configuration that the operators declared for a site. */
export type SiteConfig = {
	version: number;
	queues: QueueConfig[];
	services: Array<{name: string; enforcesCapacity: boolean; isSpare: boolean}>;
	limits: {maxBodyBytes: number; maxHeaderBytes: number; headerTimeoutMs: number; idleTimeoutMs: number};
};
