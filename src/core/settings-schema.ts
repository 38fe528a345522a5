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
		retentionMs: whole(dayMs, 1000, 365 * dayMs, 'How long the log keeps records, at the least.'),
	},
	callers: {
		checkDeadlineMs: whole(2000, 1, 600_000, 'Deadline of a check that names none.'),
		longDeadlineMs: whole(30_000, 1, 3_600_000, 'Deadline of a long request that names none.'),
		maxBodyBytes: whole(1_048_576, 0, 1_073_741_824, 'Largest body of a request.'),
		bodyTimeoutMs: whole(10_000, 50, 600_000, 'Longest time for a body to arrive.'),
	},
	membership: {
		leaseMs: whole(3000, 100, 600_000, 'How long an upstream or worker counts as alive after its last announcement.'),
		announceEveryMs: whole(1000, 20, 600_000, 'How often upstreams and workers are asked to announce themselves.'),
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
		maxFailures: whole(3, 1, 1000, 'Failures of an idempotent task before it counts as failed.'),
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
