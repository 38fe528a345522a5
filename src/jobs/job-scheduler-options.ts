/**
Options of the job scheduler of an entry.
*/
import {type Settings} from '../core/settings-schema.ts';
import {type Clock} from '../types/clock.ts';
import {type Metrics} from '../types/metrics.ts';
import {type PlacementEngine} from '../types/placement.ts';
import {type PlatformLog} from '../types/platform.ts';
import {type Random} from '../types/random.ts';
import {type WorkerRegistry} from '../types/services.ts';
import {type OwnerId} from './ownership-fold.ts';

/** Options of `JobScheduler`. */
export type JobSchedulerOptions = {
	log: PlatformLog;
	clock: Clock;
	random: Random;
	metrics: Metrics;
	self: OwnerId;
	settings: Pick<Settings, 'jobs' | 'ownership' | 'log'>;
	workers: Pick<WorkerRegistry, 'list' | 'getClient'>;
	engine: PlacementEngine;
	getRegion(service: string): string | undefined;
	/** Current time for which entries of the jobs stream wait for more, to be appended as one batch; default: `gatherMs` of the settings. */
	getLingerMs?(): number;
};
