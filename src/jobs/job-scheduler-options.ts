/**
What the scheduler of an entry is created with.
*/
import {type Settings} from '../core/settings-schema.ts';
import {type Clock} from '../types/clock.ts';
import {type Metrics} from '../types/metrics.ts';
import {type PlacementEngine} from '../types/placement.ts';
import {type PlatformLog} from '../types/platform.ts';
import {type Random} from '../types/random.ts';
import {type WorkerRegistry} from '../types/services.ts';
import {type OwnerId} from './ownership-fold.ts';

/** What the scheduler needs. */
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
	/** How long entries of the jobs stream gather, as it is now; by default that of the settings. */
	getGatherMs?(): number;
};
