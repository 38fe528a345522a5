/**
Conditions under which requests are measured.
*/

/** What happens to the hosts of a run. */
export type Condition = {
	name: string;
	/** Offered load as a share of what all slots carry. */
	load: number;
	/** One host takes this many times as long. */
	slowHostFactor?: number;
	/** Hosts of one failure domain stop answering. */
	isDomainLost?: boolean;
	/** One host answers everything with an error, at once. */
	isFailingFast?: boolean;
	/** Waves of batch work slow a third of the hosts by this factor. */
	waveFactor?: number;
	/** Delay with which measurements reach the chooser. */
	measurementDelayMs?: number;
};

/** Name of the condition with whose goodput that of the overload is compared. */
export const fullLoad = 'load-1.0';
/** Name of the condition of overload. */
export const overload = 'load-1.3';

/** All conditions. */
export const conditions: Condition[] = [
	{name: 'load-0.5', load: 0.5},
	{name: 'load-0.8', load: 0.8},
	{name: 'load-0.95', load: 0.95},
	{name: fullLoad, load: 1},
	{name: overload, load: 1.3},
	{name: 'slow-host', load: 0.7, slowHostFactor: 10},
	{name: 'slow-host-0.9', load: 0.9, slowHostFactor: 10},
	{name: 'domain-lost', load: 0.5, isDomainLost: true},
	{name: 'noisy-waves', load: 0.7, waveFactor: 3},
	{name: 'strong-waves', load: 0.7, waveFactor: 8},
	{
		name: 'late-5s', load: 0.7, waveFactor: 3, slowHostFactor: 10, measurementDelayMs: 5000,
	},
	{name: 'fails-fast', load: 0.7, isFailingFast: true},
];
