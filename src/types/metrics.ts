/**
Counters and gauges. Refusals and retries add their reason as a tag.
*/

/** Names of all metrics; documented in docs/OPERATIONS.md. */
export enum Metric {
	Requests = 'requests',
	Answers = 'answers',
	Refusals = 'refusals',
	Retries = 'retries',
	RequestMs = 'request_ms',
	/** Retries that the budget did not allow. */
	RetriesDenied = 'retries_denied',
	/** Answers of an upstream that arrived after the request was closed. */
	LateAnswers = 'late_answers',
	ClaimsOpen = 'claims_open',
	ClaimEndsDropped = 'claim_ends_dropped',
	UpstreamsAlive = 'upstreams_alive',
	WorkersAlive = 'workers_alive',
	ConfigOffset = 'config_offset',
	ConfigRejected = 'config_rejected',
	ConfigDiverged = 'config_diverged',
	ConfigSnapshots = 'config_snapshots',
	ConfigFromPeer = 'config_from_peer',
	Moves = 'moves',
	MovesBlocked = 'moves_blocked',
	LogErrors = 'log_errors',
	LogAppends = 'log_appends',
	BadRecords = 'bad_records',
	JobsAccepted = 'jobs_accepted',
	TasksStarted = 'tasks_started',
	TasksEnded = 'tasks_ended',
	TaskRefusals = 'task_refusals',
	PeersAlive = 'peers_alive',
	PeerErrors = 'peer_errors',
	Announcements = 'announcements',
	AnnouncementsSlowed = 'announcements_slowed',
	HostsMonitored = 'hosts_in_care',
	HostsHeldDown = 'hosts_held_down',
	SponsorUnreachable = 'sponsor_unreachable',
	SlotRefusals = 'slot_refusals',
	SlotsSponsored = 'slots_sponsored',
	SlotsHeldBack = 'slots_held_back',
	/** Records for the jobs stream that were dropped because the log had been unavailable for long. */
	JobEntriesDropped = 'job_entries_dropped',
	JobsRefused = 'jobs_refused',
	TaskRetries = 'task_retries',
	Evictions = 'evictions',
	EvictionWorkLostMs = 'eviction_work_lost_ms',
	ShardsOwned = 'shards_owned',
	ShardsLost = 'shards_lost',
	ShardTakeovers = 'shard_takeovers',
	LeaseRenewals = 'lease_renewals',
	RecoveryMs = 'recovery_ms',
}

/** Counts events, sets gauges and records timings. */
export type Metrics = {
	count(metric: Metric, reason?: string, amount?: number): void;
	gauge(metric: Metric, value: number): void;
	timing(metric: Metric, valueMs: number, tag?: string): void;
	/** Counts so far, keyed `metric` or `metric.reason`. */
	getCounts(): Record<string, number>;
};
