/**
The planned size of the system, and the budgets that apply at this size.
*/

const daySeconds = 86_400;

/** The planned size. */
export const scale = {
	workers: 26_000,
	accelerators: 45_000,
	jobsPerDay: 110_000,
	startsPerSecond: 11_000,
	latencyCriticalTasks: 120_000,
	batchTasks: 430_000,
	teams: 80,
	urgentStartMs: 3900,
	regions: 6,
	failureDomains: 17,
	configChangesPerDay: 81_000,
	configDueMs: 6000,
	hostFailuresPerDay: 150,
	restartsPerDay: 3600,
	logAppendsPerSecond: 300,
} as const;

/** Budgets for the control overhead of one daemon. */
export const budget = {
	cpuShare: 0.015,
	memoryMb: 32,
	bytesPerSecond: 4096,
} as const;

/** Assumptions of the model on what the planned size does not specify; docs/CAPACITY.md names each. */
export const assumed = {
	/** Entries of one failure domain. */
	entriesPerDomain: 3,
	/** Sections of the operators' text: services and teams. */
	sections: 10_000,
	/** Non-idempotent requests a second in all regions. */
	claimsPerSecond: 1000,
	/** Share of a day's jobs that comes in its busiest hour. */
	busiestHourShare: 0.15,
	tasksPerJob: 100,
	/** Header bytes of one announcement over HTTP and TCP. */
	announcementOverheadBytes: 400,
} as const;

/** Configuration changes a second, on average. */
export const configChangesPerSecond = scale.configChangesPerDay / daySeconds;

/** Jobs a second in the busiest hour. */
export const jobsPerSecond = scale.jobsPerDay * assumed.busiestHourShare / 3600;
