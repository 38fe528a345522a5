/**
What owners publish to entries for the admission of jobs: forecast waits of each queue, and the sizes of the workers.
*/

/** Work of a job by its caller's estimates. */
export type EstimatedWork = {
	/** CPU time of all tasks, in core-milliseconds. */
	coreMs: number;
	/** Length of the longest chain of steps. */
	chainMs: number;
};

/** Wait of a new job of at least a size. */
export type ForecastWait = {
	fromCoreMs: number;
	waitMs: number;
};

/** Forecast for new jobs of one queue. */
export type QueueForecast = {
	queue: string;
	/** By rising size; smaller jobs than the first do not wait. */
	waits: ForecastWait[];
	/** Jobs that ended, as far as the ratios count them. */
	measuredJobs: number;
	/** Actual time from acceptance to end, divided by the forecast: the lowest measured one, and the median. */
	lowestRatio: number;
	medianRatio: number;
};

/** Workers of one size. */
export type WorkerShape = {
	milliCpu: number;
	memoryMb: number;
	accelerators: number;
	/** Number of workers. */
	workers: number;
	/** Labels of which at least one of them has each. */
	labels: string[];
};

/** Forecast of one owner for one service. */
export type BacklogForecast = {
	epoch: number;
	/** Undefined: of an owner of the previous version, which did not tell the services of its partition apart. */
	service: string | undefined;
	queues: QueueForecast[];
	/** Undefined: not completely known. */
	fleet: WorkerShape[] | undefined;
};
