/**
The one schema of the settings: every key with its unit, default, range and meaning.
*/

/** Kinds of values. */
export enum SettingKind {
	Text = 'text',
	WholeNumber = 'whole number',
	Fraction = 'fraction',
	Flag = 'flag',
	List = 'list',
}

/** One key of the settings. */
export type SettingSpec<Value> = {
	kind: SettingKind;
	fallback: Value;
	doc: string;
	min?: number;
	max?: number;
	pattern?: RegExp;
	/** What the pattern means, for messages. */
	allowed?: string;
};

const text = (fallback: string, doc: string): SettingSpec<string> => ({kind: SettingKind.Text, fallback, doc});
const address = (fallback: string, doc: string): SettingSpec<string> => ({
	...text(fallback, doc), pattern: /^(?:[\d.]+:\d{1,5})?$/, allowed: 'an IP number and a port, as 127.0.0.1:7000, or nothing',
});
const name = (fallback: string, doc: string): SettingSpec<string> => ({
	...text(fallback, doc), pattern: /^[\w.-]{0,64}$/, allowed: 'up to 64 letters, digits, dots, dashes or underscores',
});
const whole = (fallback: number, min: number, max: number, doc: string): SettingSpec<number> => ({
	kind: SettingKind.WholeNumber, fallback, min, max, doc,
});
const fraction = (fallback: number, min: number, max: number, doc: string): SettingSpec<number> => ({
	kind: SettingKind.Fraction, fallback, min, max, doc,
});
const flag = (fallback: boolean, doc: string): SettingSpec<boolean> => ({kind: SettingKind.Flag, fallback, doc});
const list = (fallback: string[], doc: string): SettingSpec<string[]> => ({kind: SettingKind.List, fallback, doc});

const dayMs = 86_400_000;

/** All sections and keys. */
export const settingsSchema = {
	process: {
		id: name('', 'Name of this process, unique in the installation; empty: made up at start.'),
		region: name('local', 'Region in which this process runs.'),
		failureDomain: name('local-1', 'Failure domain in which this process runs.'),
		stopBoundMs: whole(30_000, 100, 600_000, 'Longest time for a graceful shutdown of one service.'),
	},
	entry: {
		callerAddress: address('127.0.0.1:7080', 'Where callers send requests.'),
		controlAddress: address('127.0.0.1:7081', 'Where upstreams, workers and operators speak to the entry.'),
		peerAddress: address('127.0.0.1:7082', 'Where other entries and guards speak to the entry.'),
		seedPeers: list([], 'Peer addresses of other entries, used while the log cannot be read.'),
	},
	log: {
		url: text('http://127.0.0.1:7090', 'Address of the platform log.'),
		timeoutMs: whole(2000, 50, 60_000, 'Longest wait for an answer of the log.'),
		appendsPerSecond: whole(250, 1, 1_000_000, 'Appends a second that claims and jobs of all entries together may take; renewals and changes come on top.'),
		retentionMs: whole(dayMs, 1000, 365 * dayMs, 'How long the log keeps records, at the least.'),
	},
	config: {
		snapshotEveryMs: whole(3_600_000, 1000, 30 * dayMs, 'Longest time between snapshots of the configuration in the log; keep it well under the retention.'),
		snapshotEveryRecords: whole(2000, 10, 1_000_000, 'A snapshot is also written after so many records.'),
		peerEveryMs: whole(1000, 50, 600_000, 'How often configuration is compared with a peer.'),
	},
	moves: {
		warmUpstreams: whole(1, 0, 10_000, 'Alive upstreams that a service needs in its new region before it moves there.'),
		warmMs: whole(3000, 0, 3_600_000, 'How long those upstreams must have been alive.'),
		settleMs: whole(4000, 0, 600_000, 'Time after a move in which non-idempotent requests wait for the old side to have stopped.'),
		checkEveryMs: whole(500, 20, 600_000, 'How often moves are considered.'),
	},
	callers: {
		checkDeadlineMs: whole(2000, 1, 600_000, 'Deadline of a check that names none.'),
		longDeadlineMs: whole(30_000, 1, 3_600_000, 'Deadline of a long request that names none.'),
		maxBodyBytes: whole(1_048_576, 0, 1_073_741_824, 'Largest body of a request.'),
		maxHeldBytes: whole(268_435_456, 0, 68_719_476_736, 'Bodies of all requests in progress at this entry together, at most.'),
		bodyTimeoutMs: whole(10_000, 50, 600_000, 'Longest time for a body to arrive.'),
		keepAliveMs: whole(65_000, 1000, 600_000, 'How long an idle connection of a caller is kept; longer than the balancer keeps it.'),
		drainMs: whole(500, 0, 60_000, 'How long a stopping entry still answers callers, with refusals, before it closes idle connections.'),
		maxConnections: whole(20_000, 1, 1_000_000, 'Connections of callers at most.'),
	},
	admission: {
		queueLimit: whole(512, 1, 100_000, 'Longest queue of checks of a service at this entry.'),
		longQueueLimit: whole(4096, 1, 100_000, 'Longest queue of long requests of a service at this entry.'),
		longShare: fraction(0.25, 0, 0.9, 'Share of the slots, or of the turns when slots are few, kept for long requests while any wait.'),
		waitShare: fraction(0.5, 0.05, 1, 'Share of the time left after the expected run that a request may be expected to wait in the queue.'),
	},
	retries: {
		budgetShare: fraction(0.1, 0, 1, 'Retries allowed as a share of first tries.'),
		budgetBurst: whole(10, 0, 10_000, 'Retries of a service allowed at once, whatever the share.'),
		maxAttempts: whole(3, 1, 10, 'Most tries of one request, the first included.'),
		connectTimeoutMs: whole(1000, 10, 60_000, 'Longest wait for a connection to an upstream.'),
	},
	answers: {
		bufferBytes: whole(65_536, 0, 16_777_216, 'Answers up to this size are held until they are whole; larger ones are streamed.'),
		stalledCallerMs: whole(10_000, 50, 600_000, 'How long a caller may leave an answer unread before its connection is broken.'),
	},
	claims: {
		appendEveryMs: whole(20, 0, 1000, 'Least time between two appends of claims by this entry.'),
		idLifetimeMs: whole(3_600_000, 1000, 30 * dayMs, 'Oldest request id that is taken, at most the retention of the log less the margin.'),
		marginMs: whole(300_000, 0, 7 * dayMs, 'Part of the retention that is never relied on.'),
		maxClockErrorMs: whole(5000, 0, 600_000, 'How far the clock of a caller or entry may be off.'),
		maxWaitMs: whole(5000, 1, 600_000, 'Longest wait for the log to confirm a claim.'),
		failFastAfterMs: whole(1000, 0, 600_000, 'After the log has failed for so long, claims are refused at once.'),
		maxPending: whole(5000, 1, 1_000_000, 'Claims and ends held for the log at most.'),
		maxKnown: whole(500_000, 1, 10_000_000, 'Request ids remembered at most.'),
		maxBodyBytes: whole(2048, 0, 65_536, 'Largest answer kept with a claim, to be replayed to a duplicate.'),
	},
	membership: {
		leaseMs: whole(3000, 100, 600_000, 'How long an upstream or worker counts as alive after its last announcement.'),
		announceEveryMs: whole(1000, 20, 600_000, 'How often upstreams and workers are asked to announce themselves.'),
		relayEveryMs: whole(250, 10, 60_000, 'How often an entry asks each other entry for news of the hosts in its care.'),
		voucherLeaseMs: whole(1250, 50, 600_000, 'How long the word of another entry counts after that entry was last known to be alive.'),
		graceMs: whole(1250, 0, 600_000, 'Longest further time for the hosts of a silent entry to announce themselves elsewhere.'),
		forgetAfterMs: whole(600_000, 1000, 86_400_000, 'When a host that nobody speaks for is forgotten.'),
		announcementsPerSecond: whole(2000, 1, 1_000_000, 'Announcements an entry wants to take in a second; above, hosts are told to wait longer.'),
		flapHoldAt: fraction(4, 1, 1000, 'Flaps, decaying, from which a host gets no work.'),
		flapReleaseAt: fraction(1.5, 0.1, 1000, 'Decayed flaps below which a host gets work again.'),
		flapHalfLifeMs: whole(60_000, 1000, 86_400_000, 'Half-life of flaps.'),
	},
	slots: {
		periodMs: whole(100, 10, 60_000, 'How often an entry speaks to each other entry of slots.'),
		leaseMs: whole(5000, 100, 600_000, 'How long a share of slots may be used without a word of its sponsor; longer than the lock of the sponsor.'),
		sponsorLockMs: whole(3000, 100, 600_000, 'How long an upstream keeps a sponsor that is silent.'),
		maxHoldMs: whole(30_000, 100, 3_600_000, 'Longest time that a slot may be held for one request; at least the longest deadline.'),
		entryCount: whole(3, 1, 1000, 'Entries among which the slots of an upstream that echoes no sponsor are divided.'),
	},
	guard: {
		address: address('127.0.0.1:7083', 'Where the guard takes requests for its upstream.'),
		upstreamAddress: address('127.0.0.1:7084', 'Where the upstream beside the guard takes requests.'),
		entryAddresses: list(['127.0.0.1:7081'], 'Control addresses of entries, or the one of their balancer.'),
		service: name('', 'Service to which the upstream belongs.'),
		slots: whole(8, 1, 10_000, 'Requests that the upstream runs at once.'),
		connections: whole(64, 1, 100_000, 'Connections that the guard takes and opens.'),
		queueLimit: whole(8, 0, 10_000, 'Requests that may wait at the guard for a slot.'),
		queueMs: whole(50, 0, 60_000, 'How long a request may wait at the guard for a slot.'),
		drainMs: whole(3000, 0, 600_000, 'How long the guard still takes requests after it announced its end.'),
	},
	peers: {
		heartbeatMs: whole(250, 10, 60_000, 'How often an entry speaks to each other entry.'),
		leaseMs: whole(1250, 50, 600_000, 'How long another entry counts as alive after it answered.'),
		callTimeoutMs: whole(500, 10, 60_000, 'Longest wait for the answer of another entry.'),
		presenceEveryMs: whole(60_000, 100, 86_400_000, 'How often an entry appends its presence to the log; far less than its retention.'),
		forgetAfterMs: whole(600_000, 1000, 86_400_000, 'When an entry that was not heard of any more is forgotten.'),
	},
	placement: {
		urgentPriority: whole(900, 1, 1001, 'Tasks of this priority or higher may evict others; 1001: none.'),
		urgentPatienceMs: whole(1000, 0, 60_000, 'How long urgent work waits for a task to end before it evicts one.'),
		urgentClaimMs: whole(1500, 100, 60_000, 'How long urgent work waits for one eviction before another is tried.'),
		headroomHalfLifeMs: whole(600_000, 0, 86_400_000, 'Time in which half of the room kept free after urgent work is given up; 0: none is kept.'),
		quotaReturnMs: whole(10_000, 0, 3_600_000, 'How long demand within a quota waits before borrowed room is taken back.'),
		reserveAfterMs: whole(5000, 0, 3_600_000, 'How long a gang or large task waits before room is kept for it.'),
		evictionsPerMinute: whole(30, 0, 1_000_000, 'Budget of evictions for quotas and harm, and the least one for urgent work.'),
		evictionHoldMs: whole(60_000, 0, 3_600_000, 'How long an evicted task is not evicted again for harm.'),
		restartCostMs: whole(5000, 0, 3_600_000, 'Work lost by an eviction with a checkpoint.'),
		isHarmAware: flag(true, 'Whether harm between kinds of tasks is learned and used.'),
		tailWeight: fraction(3, 0, 1000, 'Cost of a latency-critical task at twice its target latency.'),
		throughputWeight: fraction(1, 0, 1000, 'Cost of a batch task at twice its unhindered run time.'),
		evictionWeight: fraction(1, 0, 1000, 'Cost of a second of work lost to an eviction.'),
		harmThreshold: fraction(1.4, 1, 100, 'Slowdown of a latency-critical task from which neighbours are throttled.'),
		harmSettleMs: whole(15_000, 0, 3_600_000, 'How long a throttle is given to show its effect.'),
		harmHalfLifeMs: whole(600_000, 1000, 86_400_000, 'Time in which half of what was learned of harm is forgotten.'),
		deferMs: whole(20_000, 0, 3_600_000, 'Longest time for which a batch task is held back from a harmful place.'),
		isShrinkAllowed: flag(false, 'Whether a well-known kind may be given less than it declares.'),
		maxTries: whole(5, 1, 1000, 'Failures, on several sound workers, after which a job ends as failing everywhere.'),
		holdMs: whole(10_000, 100, 3_600_000, 'How long a worker that fails everything is held down at first.'),
	},
	jobs: {
		shards: whole(16, 1, 4096, 'Shards that new jobs are divided into; the same in all entries.'),
		leaseMs: whole(30_000, 500, 600_000, 'Lease of a running task at its worker; longer than a takeover of its shard takes.'),
		renewEveryMs: whole(1000, 20, 60_000, 'How often the leases at one worker are renewed, and ends learned.'),
		callTimeoutMs: whole(2000, 50, 60_000, 'Longest wait for an answer of a worker; orders that arrive later are refused there.'),
		clockErrorMs: whole(500, 0, 60_000, 'How far clocks of two hosts may drift apart during one lease.'),
		roundMs: whole(100, 10, 10_000, 'How often placement decides.'),
		maxDecisions: whole(500, 1, 100_000, 'Placement decisions of one round, at most.'),
		maxCalls: whole(64, 1, 10_000, 'Calls to workers at a time while a shard is recovered or a wave of cancellations is served.'),
		gatherMs: whole(50, 1, 5000, 'How long entries of the jobs stream gather before one append.'),
		maxBatch: whole(1000, 1, 100_000, 'Entries of one record of the jobs stream, at most.'),
		maxQueued: whole(100_000, 10, 10_000_000, 'Entries held while the log is away, at most.'),
		submitTimeoutMs: whole(5000, 50, 600_000, 'Longest time for a submission to be in the log.'),
		keepFinishedMs: whole(3_600_000, 1000, 30 * dayMs, 'How long a finished job can be asked for.'),
		maxFailures: whole(10, 1, 1000, 'Failures of an idempotent task before it counts as failed, whatever placement makes of them.'),
	},
	ownership: {
		leaseMs: whole(8000, 200, 600_000, 'Lease of an entry on its shards.'),
		renewEveryMs: whole(2500, 20, 600_000, 'How often an entry renews its shards, all in one record.'),
		settleMs: whole(20_000, 0, 3_600_000, 'How long an entry must have been there before shards move to it.'),
	},
	metrics: {
		statsdAddress: address('', 'Where counters are sent over UDP; empty: nowhere.'),
		prefix: name('chervilworks', 'Prefix of all metric names.'),
	},
};

type Schema = typeof settingsSchema;

/** Checked settings. */
export type Settings = {
	[Section in keyof Schema]: {
		[Key in keyof Schema[Section]]: Schema[Section][Key] extends SettingSpec<infer Value> ? Value : never;
	};
};

/** Names of the sections. */
export type SettingsSection = keyof Settings;

export {
	text, address, name, whole, fraction, flag, list,
};
