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
