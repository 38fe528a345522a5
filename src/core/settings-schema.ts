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
