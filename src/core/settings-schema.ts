/**
Schema of the settings: kind, default, range and description of every key. The unit is the suffix of a key.
*/

/** Kinds of values of settings. */
export enum SettingKind {
	Text = 'text',
	Integer = 'whole number',
	Fraction = 'fraction',
	Flag = 'flag',
	List = 'list',
}

/** Specification of one key. */
export type SettingSpec<Value> = {
	kind: SettingKind;
	defaultValue: Value;
	doc: string;
	min?: number;
	max?: number;
	pattern?: RegExp;
	/** Values that the pattern matches, in words, for messages. */
	allowed?: string;
};

const text = (defaultValue: string, doc: string): SettingSpec<string> => ({kind: SettingKind.Text, defaultValue, doc});
const address = (defaultValue: string, doc: string): SettingSpec<string> => ({
	...text(defaultValue, doc), pattern: /^(?:[\d.]+:\d{1,5})?$/, allowed: 'an IPv4 address and a port, as 127.0.0.1:7000, or empty',
});
const name = (defaultValue: string, doc: string): SettingSpec<string> => ({
	...text(defaultValue, doc), pattern: /^[\w.-]{0,64}$/, allowed: 'up to 64 letters, digits, dots, dashes or underscores',
});
const integer = (defaultValue: number, min: number, max: number, doc: string): SettingSpec<number> => ({
	kind: SettingKind.Integer, defaultValue, min, max, doc,
});
const fraction = (defaultValue: number, min: number, max: number, doc: string): SettingSpec<number> => ({
	kind: SettingKind.Fraction, defaultValue, min, max, doc,
});
const flag = (defaultValue: boolean, doc: string): SettingSpec<boolean> => ({kind: SettingKind.Flag, defaultValue, doc});
const list = (defaultValue: string[], doc: string): SettingSpec<string[]> => ({kind: SettingKind.List, defaultValue, doc});

const dayMs = 86_400_000;

/** All sections and keys. */
export const settingsSchema = {
	process: {
		id: name('', 'Name of this process, unique in the installation; empty: generated at start.'),
		region: name('local', 'Region in which this process runs.'),
		failureDomain: name('local-1', 'Failure domain in which this process runs.'),
		stopBoundMs: integer(30_000, 100, 600_000, 'Longest time for one service of the process to stop.'),
	},
	entry: {
		callerAddress: address('127.0.0.1:7080', 'Address on which the entry accepts requests of callers.'),
		controlAddress: address('127.0.0.1:7081', 'Address on which the entry accepts calls of upstreams, workers and operators.'),
		peerAddress: address('127.0.0.1:7082', 'Address on which the entry accepts calls of other entries and guards.'),
		seedPeers: list([], 'Peer addresses of other entries, used while the log cannot be read.'),
	},
	log: {
		url: text('http://127.0.0.1:7090', 'Address of the platform log.'),
		timeoutMs: integer(2000, 50, 60_000, 'Longest wait for a response of the log.'),
		appendsPerSecond: integer(250, 1, 1_000_000, 'Appends a second that all entries together may use for claims and jobs; lease renewals and configuration changes are not counted.'),
		retentionMs: integer(dayMs, 1000, 365 * dayMs, 'Shortest time for which the log retains records.'),
	},
	config: {
		snapshotEveryMs: integer(3_600_000, 1000, 30 * dayMs, 'Longest time between snapshots of the configuration in the log; must be well below the retention.'),
		snapshotEveryRecords: integer(2000, 10, 1_000_000, 'Number of records after which a snapshot is written as well.'),
		peerEveryMs: integer(1000, 50, 600_000, 'How often configuration is compared with a peer.'),
	},
	moves: {
		warmUpstreams: integer(1, 0, 10_000, 'Number of alive upstreams that a service needs in its new region before it moves there.'),
		warmMs: integer(3000, 0, 3_600_000, 'How long those upstreams must have been alive.'),
		settleMs: integer(4000, 0, 600_000, 'How long after a move non-idempotent requests wait, so that the former region has stopped serving them.'),
		checkEveryMs: integer(500, 20, 600_000, 'How often the entry checks whether a service can move.'),
	},
	callers: {
		checkDeadlineMs: integer(2000, 1, 600_000, 'Deadline of a check that specifies none.'),
		longDeadlineMs: integer(30_000, 1, 3_600_000, 'Deadline of a long request that specifies none.'),
		maxBodyBytes: integer(1_048_576, 0, 1_073_741_824, 'Largest body of a request.'),
		maxHeldBytes: integer(268_435_456, 0, 68_719_476_736, 'Largest total size of the bodies of all requests in progress at this entry.'),
		bodyTimeoutMs: integer(10_000, 50, 600_000, 'Longest time for a body to arrive.'),
		keepAliveMs: integer(65_000, 1000, 600_000, 'How long an idle connection of a caller is kept open; must be longer than the load balancer keeps it.'),
		drainMs: integer(500, 0, 60_000, 'How long a stopping entry still answers new requests with refusals before it closes idle connections.'),
		maxConnections: integer(20_000, 1, 1_000_000, 'Maximum number of connections of callers.'),
	},
	admission: {
		queueLimit: integer(512, 1, 100_000, 'Longest queue of checks of a service at this entry.'),
		longQueueLimit: integer(4096, 1, 100_000, 'Longest queue of long requests of a service at this entry.'),
		longShare: fraction(0.25, 0, 0.9, 'Share of the slots reserved for long requests while any wait; with few slots, their share of the dispatches.'),
		waitShare: fraction(0.5, 0.05, 1, 'Longest expected wait in the queue, as a share of the time that remains until the deadline after the expected run time.'),
	},
	retries: {
		budgetShare: fraction(0.1, 0, 1, 'Retries allowed as a share of first attempts.'),
		budgetBurst: integer(10, 0, 10_000, 'Burst of retries allowed for a service, regardless of the share.'),
		maxAttempts: integer(3, 1, 10, 'Maximum number of attempts of one request, including the first.'),
		connectTimeoutMs: integer(1000, 10, 60_000, 'Longest wait for a connection to an upstream.'),
	},
	answers: {
		bufferBytes: integer(65_536, 0, 16_777_216, 'Responses up to this size are buffered until they are complete; larger ones are streamed.'),
		stalledCallerMs: integer(10_000, 50, 600_000, 'How long a caller may leave a response unread before its connection is closed.'),
	},
	claims: {
		appendEveryMs: integer(20, 0, 1000, 'Shortest time between two appends of claims by this entry.'),
		idLifetimeMs: integer(3_600_000, 1000, 30 * dayMs, 'Maximum age of a request id that is accepted; at most the retention of the log minus the margin.'),
		marginMs: integer(300_000, 0, 7 * dayMs, 'Safety margin that is subtracted from the retention of the log.'),
		maxClockErrorMs: integer(5000, 0, 600_000, 'Largest error assumed of the clock of a caller or entry.'),
		maxWaitMs: integer(5000, 1, 600_000, 'Longest wait for the log to confirm a claim.'),
		failFastAfterMs: integer(1000, 0, 600_000, 'Time for which the log must have failed before claims are refused at once.'),
		maxPending: integer(5000, 1, 1_000_000, 'Maximum number of claims and ends waiting to be appended to the log.'),
		maxKnown: integer(500_000, 1, 10_000_000, 'Maximum number of request ids kept in memory.'),
		maxBodyBytes: integer(2048, 0, 65_536, 'Largest response body stored with a claim for replay to duplicate requests.'),
	},
	membership: {
		leaseMs: integer(3000, 100, 600_000, 'How long an upstream or worker counts as alive after its last announcement.'),
		announceEveryMs: integer(1000, 20, 600_000, 'Interval at which upstreams and workers are asked to announce themselves.'),
		relayEveryMs: integer(250, 10, 60_000, 'How often an entry asks each other entry for updates on the hosts that the other one monitors.'),
		voucherLeaseMs: integer(1250, 50, 600_000, 'How long the attestation of another entry that a host is alive is valid after that entry was last known to be alive.'),
		graceMs: integer(1250, 0, 600_000, 'Longest additional time for the hosts of an entry that no longer answers to announce themselves to another entry.'),
		forgetAfterMs: integer(600_000, 1000, 86_400_000, 'Time after which a host that no entry attests is removed.'),
		announcementsPerSecond: integer(2000, 1, 1_000_000, 'Target rate of announcements to one entry a second; above it, the entry asks hosts to wait longer between announcements.'),
		flapHoldAt: fraction(4, 1, 1000, 'Decayed count of flaps from which a host gets no work.'),
		flapReleaseAt: fraction(1.5, 0.1, 1000, 'Decayed count of flaps below which a host gets work again.'),
		flapHalfLifeMs: integer(60_000, 1000, 86_400_000, 'Half-life of the count of flaps.'),
	},
	slots: {
		periodMs: integer(100, 10, 60_000, 'How often an entry exchanges slot leases with each other entry.'),
		leaseMs: integer(5000, 100, 600_000, 'How long a share of slots may be used without renewal by the sponsor (the entry that divides the slots); longer than the sponsor lock.'),
		sponsorLockMs: integer(3000, 100, 600_000, 'How long an upstream keeps a sponsor that does not answer.'),
		maxHoldMs: integer(30_000, 100, 3_600_000, 'Longest time that a slot may be held for one request; at least the longest deadline.'),
		entryCount: integer(3, 1, 1000, 'Number of entries among which the slots of an upstream are divided if it does not echo its sponsor.'),
	},
	guard: {
		address: address('127.0.0.1:7083', 'Address on which the guard accepts requests for its upstream.'),
		upstreamAddress: address('127.0.0.1:7084', 'Address on which the upstream of the guard accepts requests.'),
		entryAddresses: list(['127.0.0.1:7081'], 'Control addresses of the entries, or the address of their load balancer.'),
		service: name('', 'Service to which the upstream belongs.'),
		slots: integer(8, 1, 10_000, 'Requests that the upstream runs at once.'),
		connections: integer(64, 1, 100_000, 'Maximum number of connections that the guard accepts, and that it opens.'),
		queueLimit: integer(8, 0, 10_000, 'Requests that may wait at the guard for a slot.'),
		queueMs: integer(50, 0, 60_000, 'How long a request may wait at the guard for a slot.'),
		drainMs: integer(3000, 0, 600_000, 'How long the guard still accepts requests after it announced that it is stopping.'),
	},
	peers: {
		heartbeatMs: integer(250, 10, 60_000, 'How often an entry sends a heartbeat to each other entry.'),
		leaseMs: integer(1250, 50, 600_000, 'How long another entry counts as alive after its last response.'),
		callTimeoutMs: integer(500, 10, 60_000, 'Longest wait for a response of another entry.'),
		presenceEveryMs: integer(60_000, 100, 86_400_000, 'How often an entry appends its presence to the log; must be far shorter than the retention.'),
		forgetAfterMs: integer(600_000, 1000, 86_400_000, 'Time after which an entry that no longer answers or appends its presence is removed.'),
	},
	placement: {
		urgentPriority: integer(900, 1, 1001, 'Tasks of this priority or higher may evict others; 1001: none.'),
		urgentPatienceMs: integer(1000, 0, 60_000, 'How long urgent work waits for a task to end before it evicts one.'),
		urgentClaimMs: integer(1500, 100, 60_000, 'How long urgent work waits for one eviction before another is tried.'),
		headroomHalfLifeMs: integer(600_000, 0, 86_400_000, 'Half-life of the capacity kept free after urgent work; 0: none is kept free.'),
		quotaReturnMs: integer(10_000, 0, 3_600_000, 'How long demand within a quota waits before capacity borrowed from it is reclaimed.'),
		reserveAfterMs: integer(5000, 0, 3_600_000, 'How long a gang or large task waits before capacity is reserved for it.'),
		evictionsPerMinute: integer(30, 0, 1_000_000, 'Budget of evictions for quotas and interference, and the smallest budget for urgent work.'),
		evictionHoldMs: integer(60_000, 0, 3_600_000, 'How long an evicted task is not evicted again because of interference.'),
		restartCostMs: integer(5000, 0, 3_600_000, 'Work assumed lost when a task with a checkpoint is evicted.'),
		isHarmAware: flag(true, 'Whether interference between kinds of tasks is estimated and considered in placement.'),
		tailWeight: fraction(3, 0, 1000, 'Cost of a latency-critical task at twice its target latency.'),
		throughputWeight: fraction(1, 0, 1000, 'Cost of a batch task at twice its run time without interference.'),
		evictionWeight: fraction(1, 0, 1000, 'Cost of a second of work lost to an eviction.'),
		harmThreshold: fraction(1.4, 1, 100, 'Slowdown of a latency-critical task from which other tasks on its worker are throttled.'),
		harmSettleMs: integer(15_000, 0, 3_600_000, 'How long the effect of a throttle is awaited before the next step.'),
		harmHalfLifeMs: integer(600_000, 1000, 86_400_000, 'Half-life of observations of interference.'),
		deferMs: integer(20_000, 0, 3_600_000, 'Time in which the interference that is accepted for a deferred batch task doubles; 0: batch tasks are not deferred.'),
		isShrinkAllowed: flag(false, 'Whether a kind of task with enough observations may get less than it declares.'),
		maxTries: integer(5, 1, 1000, 'Failures on several healthy workers after which a job fails.'),
		holdMs: integer(10_000, 100, 3_600_000, 'Initial time for which a worker on which all tasks fail gets no work.'),
	},
	jobs: {
		shards: integer(16, 1, 4096, 'Shards that new jobs are divided into; the same in all entries.'),
		leaseMs: integer(30_000, 500, 600_000, 'Lease of a running task at its worker; must be longer than the takeover of a shard.'),
		renewEveryMs: integer(1000, 20, 60_000, 'How often the leases at one worker are renewed and ended tasks are collected.'),
		callTimeoutMs: integer(2000, 50, 60_000, 'Longest wait for a response of a worker; the worker refuses orders that arrive later.'),
		clockErrorMs: integer(500, 0, 60_000, 'Largest drift between the clocks of two hosts during one lease.'),
		roundMs: integer(100, 10, 10_000, 'Interval between two scheduling cycles of placement.'),
		maxDecisions: integer(500, 1, 100_000, 'Maximum number of placement decisions in one scheduling cycle.'),
		maxCalls: integer(64, 1, 10_000, 'Maximum number of concurrent calls to workers during the recovery of a shard or many cancellations.'),
		gatherMs: integer(50, 1, 5000, 'How long entries of the jobs stream are batched before they are appended.'),
		maxBatch: integer(1000, 1, 100_000, 'Maximum number of entries in one record of the jobs stream.'),
		maxQueued: integer(100_000, 10, 10_000_000, 'Maximum number of entries held while the log is unavailable.'),
		submitTimeoutMs: integer(5000, 50, 600_000, 'Longest time for a submission to be stored in the log.'),
		keepFinishedMs: integer(3_600_000, 1000, 30 * dayMs, 'How long the state of a finished job can be read.'),
		maxFailures: integer(10, 1, 1000, 'Failures of an idempotent task after which it counts as failed, regardless of whether placement attributes them to the task or to a worker.'),
	},
	ownership: {
		leaseMs: integer(8000, 200, 600_000, 'Duration of the lease of an entry on its shards.'),
		renewEveryMs: integer(2500, 20, 600_000, 'How often an entry renews the leases on its shards, all in one record.'),
		settleMs: integer(20_000, 0, 3_600_000, 'How long an entry must have been alive before shards move to it.'),
	},
	metrics: {
		statsdAddress: address('', 'Address to which counters are sent over UDP; empty: not sent.'),
		prefix: name('chervilworks', 'Prefix of all metric names.'),
	},
};

type Schema = typeof settingsSchema;

/** Validated settings. */
export type Settings = {
	[Section in keyof Schema]: {
		[Key in keyof Schema[Section]]: Schema[Section][Key] extends SettingSpec<infer Value> ? Value : never;
	};
};

/** Names of the sections. */
export type SettingsSection = keyof Settings;

export {
	text, address, name, integer as whole, fraction, flag, list,
};
