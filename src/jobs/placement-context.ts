/**
Creates the parts of the placement engine and connects them.
*/
import {TaskClass} from '../types/jobs.ts';
import {InterferenceCost} from './interference-cost.ts';
import {ResidencyHistory} from './residency-history.ts';
import {InterferenceModel} from './interference-model.ts';
import {type PlacementOptions} from './placement-engine.ts';
import {Fleet} from './placement-fleet.ts';
import {WaitingQueue} from './placement-queue.ts';
import {Reservations} from './placement-reservations.ts';
import {type PlacementContext} from './placement-cycle.ts';
import {createCheapestChoice, PlacementSearch, type ChooseWorker} from './placement-search.ts';
import {QuotaLedger} from './quota-ledger.ts';
import {SizeEstimates} from './size-estimates.ts';
import {createEvictionCost, EvictionBudget, EvictionHistory} from './eviction-planning.ts';
import {UrgencyHeadroom} from './urgency-headroom.ts';
import {type WorkerEntry} from './placement-state.ts';
import {WorkerHealth} from './worker-health.ts';

// Limit of evictions for urgent work, per worker of the fleet and minute; `evictionsPerMinute` of the settings applies if higher.
const urgentEvictionsPerWorker = 4;

/** Creates the parts and the state that the engine decides with. */
export const createContext = (options: PlacementOptions): PlacementContext => {
	const {settings, random} = options;
	const quotas = new QuotaLedger();
	const fleet = new Fleet(quotas);
	const queue = new WaitingQueue(settings.urgentPriority);
	const interferenceModel = new InterferenceModel(settings.harmHalfLifeMs);
	const interferenceCost = new InterferenceCost(interferenceModel, {weights: settings, getUtilization: () => fleet.utilization});
	const sizes = new SizeEstimates(settings.isShrinkAllowed);
	const evictionHistory = new EvictionHistory();
	const choose = options.choose ?? createChoice({
		settings, queue, interferenceCost, sizes,
	});
	const search = new PlacementSearch({index: fleet.index, random, choose});
	return {
		settings,
		random,
		fleet,
		queue,
		quotas,
		interferenceModel,
		interferenceCost,
		sizes,
		evictionHistory,
		reservations: new Reservations({fleet, queue, quotas}),
		search,
		headroom: new UrgencyHeadroom({fleet, search, halfLifeMs: settings.headroomHalfLifeMs}),
		health: new WorkerHealth<WorkerEntry>(settings),
		residencyHistory: new ResidencyHistory(),
		urgentEvictionBudget: new EvictionBudget(() => Math.max(settings.evictionsPerMinute, urgentEvictionsPerWorker * fleet.size)),
		regularEvictionBudget: new EvictionBudget(() => settings.evictionsPerMinute),
		getEvictionCost: createEvictionCost({...settings, getEvictions: taskId => evictionHistory.getCount(taskId)}),
		failedSearches: new Map(),
		slowedTasks: new Set(),
		throttledTasks: new Set(),
		startedBatchTasks: [],
	};
};

const createChoice = ({settings, queue, interferenceCost, sizes}: Pick<PlacementContext, 'settings' | 'queue' | 'interferenceCost' | 'sizes'>): ChooseWorker => {
	if (!settings.isHarmAware) {
		return createCheapestChoice(() => 0, () => Number.POSITIVE_INFINITY);
	}

	return createCheapestChoice(
		(worker, entry) => {
			const {kindId, spec} = entry.job;
			return interferenceCost.getAddedCost(worker, entry, sizes.getExpectedProcessors(kindId, entry.reserved, spec.resources));
		},
		// A batch task whose interference would cost more than its own progress is worth is deferred. The limit doubles
		// every `deferMs`, so that in the end the task runs where it interferes least.
		({job}, nowMs) => {
			if (job.spec.taskClass !== TaskClass.Batch || queue.isUrgent(job) || settings.deferMs === 0) {
				return Number.POSITIVE_INFINITY;
			}

			const deferredMs = Math.max(0, nowMs - job.firstDeferredAtMs);
			return settings.throughputWeight * (2 ** (deferredMs / settings.deferMs));
		},
	);
};
