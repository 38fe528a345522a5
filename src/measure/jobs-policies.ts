/**
Placement policies to compare. All share the product's queue, quotas and evictions; only the choice of the worker differs.
*/
import {getDominantShare} from '../jobs/placement-resources.ts';
import {type ChooseWorker} from '../jobs/placement-search.ts';
import {type WorkerEntry} from '../jobs/placement-state.ts';
import {type Random} from '../types/random.ts';
import {type MeasuredPolicy} from './jobs-run.ts';

/** Name of the product's placement without learned interference. */
export const interferenceBlindName = 'blind';
/** Name of the product's placement with learned interference. */
export const interferenceAwareName = 'harm-aware';

const getFreeShare = ({free, spec}: WorkerEntry): number => getDominantShare(free, spec.capacity);

const chooseFirst: ChooseWorker = candidates =>
	candidates.toSorted((a, b) => a.spec.workerId < b.spec.workerId ? -1 : 1)[0];

const chooseTightest: ChooseWorker = candidates =>
	candidates.toSorted((a, b) => getFreeShare(a) - getFreeShare(b))[0];

const createRandomOfTwo = (random: Random): ChooseWorker => candidates => {
	const first = candidates[random.below(candidates.length)]!;
	const second = candidates[random.below(candidates.length)]!;
	return getFreeShare(first) >= getFreeShare(second) ? first : second;
};

/** All policies that are compared. The last two are the product's placement without and with learned interference. */
export const measuredPolicies: MeasuredPolicy[] = [
	{name: 'first-fit', isInterferenceAware: false, createChoose: () => chooseFirst},
	{name: 'best-fit', isInterferenceAware: false, createChoose: () => chooseTightest},
	{name: 'random-of-two', isInterferenceAware: false, createChoose: createRandomOfTwo},
	{name: interferenceBlindName, isInterferenceAware: false},
	{name: interferenceAwareName, isInterferenceAware: true},
];
