/**
Creates the parts of the placement engine and connects them.
*/
import {TaskClass} from '../types/jobs.ts';
import {HarmCost} from './harm-cost.ts';
import {HarmHistory} from './harm-history.ts';
import {HarmModel} from './harm-model.ts';
import {type PlacementOptions} from './placement-engine.ts';
import {Fleet} from './placement-fleet.ts';
import {WaitingQueue} from './placement-queue.ts';
import {Reservations} from './placement-reservations.ts';
import {type PlacementContext} from './placement-round.ts';
import {createCheapestChoice, PlacementSearch, type ChooseWorker} from './placement-search.ts';
import {QuotaLedger} from './quota-ledger.ts';
import {SizeEstimates} from './size-estimates.ts';
import {createEvictionCost, EvictionBudget, EvictionMemory} from './urgency-eviction.ts';
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
	const interferenceModel = new HarmModel(settings.harmHalfLifeMs);
	const interferenceCost = new HarmCost(interferenceModel, {weights: settings, getBusyness: () => fleet.busyness});
	const sizes = new SizeEstimates(settings.isShrinkAllowed);
	const evictionHistory = new EvictionMemory();
	const choose = options.choose ?? createChoice({
		settings, queue, harmCost: interferenceCost, sizes,
	});
	const search = new PlacementSearch({index: fleet.index, random, choose});
	return {
		settings,
		random,
		fleet,
		queue,
		quotas,
		model: interferenceModel,
		harmCost: interferenceCost,
		sizes,
		evictions: evictionHistory,
		reservations: new Reservations({fleet, queue, quotas}),
		search,
		headroom: new UrgencyHeadroom({fleet, search, halfLifeMs: settings.headroomHalfLifeMs}),
		health: new WorkerHealth<WorkerEntry>(settings),
		history: new HarmHistory(),
		urgentBudget: new EvictionBudget(() => Math.max(settings.evictionsPerMinute, urgentEvictionsPerWorker * fleet.size)),
		otherBudget: new EvictionBudget(() => settings.evictionsPerMinute),
		getEvictionCost: createEvictionCost({...settings, getEvictions: taskId => evictionHistory.getCount(taskId)}),
		blocked: new Map(),
		harmed: new Set(),
		throttled: new Set(),
		started: [],
	};
};

const createChoice = ({settings, queue, harmCost, sizes}: Pick<PlacementContext, 'settings' | 'queue' | 'harmCost' | 'sizes'>): ChooseWorker => {
	if (!settings.isHarmAware) {
		return createCheapestChoice(() => 0, () => Number.POSITIVE_INFINITY);
	}

	return createCheapestChoice(
		(worker, entry) => {
			const {kindId, spec} = entry.job;
			return harmCost.getAdded(worker, entry, sizes.getExpectedProcessors(kindId, entry.reserved, spec.resources));
		},
		// A batch task whose interference would cost more than its own progress is worth is deferred. The limit doubles
		// every `deferMs`, so that in the end the task runs where it interferes least.
		({job}, nowMs) => {
			if (job.spec.taskClass !== TaskClass.Batch || queue.isUrgent(job) || settings.deferMs === 0) {
				return Number.POSITIVE_INFINITY;
			}

			const deferredMs = Math.max(0, nowMs - job.deferredAtMs);
			return settings.throughputWeight * (2 ** (deferredMs / settings.deferMs));
		},
	);
};
