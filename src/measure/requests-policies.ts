/**
Policies for serving requests that are compared with each other.
*/
import {
	createLeastInFlightChooser, createFirstLeastInFlightChooser, createRandomChooser, createRoundRobinChooser,
} from '../requests/choice-baselines.ts';
import {createChooser, type ChooserOptions} from '../requests/choice.ts';
import {type UpstreamAnnouncement} from '../types/announcements.ts';
import {type Chooser} from '../types/choice.ts';
import {type Condition} from './requests-conditions.ts';
import {type Site} from './requests-sites.ts';
import {solveSplit} from './requests-split.ts';

/** What a policy may know about the run besides what an entry learns. */
export type PolicyContext = {
	site: Site;
	condition: Condition;
	getRoutable: () => readonly UpstreamAnnouncement[];
};

/** One policy. */
export type Policy = {
	name: string;
	isHedging?: boolean;
	isLimiting?: boolean;
	/** An attempt of a check times out after this long; undefined: at its deadline. */
	attemptTimeoutMs?: number;
	/** Measured only if it is selected by name. */
	isVariant?: boolean;
	createChooser(options: ChooserOptions, policyContext: PolicyContext): Chooser;
};

/** The product's chooser with failure domain weights that are solved again whenever the upstreams change. */
const createSplitChooser = (options: ChooserOptions, {site, condition, getRoutable}: PolicyContext): Chooser => {
	const {failureDomain} = options;
	let solvedFor: readonly UpstreamAnnouncement[] | undefined;
	let split: ReturnType<typeof solveSplit> | undefined;
	return createChooser({
		...options,
		getFailureDomainWeights(_serviceName, requestClass) {
			const upstreams = getRoutable();
			if (!split || upstreams !== solvedFor) {
				solvedFor = upstreams;
				split = solveSplit({
					site, condition, failureDomain, upstreams,
				});
			}

			return split[requestClass];
		},
	});
};

/** Name of the product's own policy. */
export const ownPolicy = 'chervilworks';

/** All policies. */
export const policies: Policy[] = [
	{name: ownPolicy, createChooser},
	{name: 'round-robin', createChooser: () => createRoundRobinChooser()},
	{name: 'random', createChooser: ({random}) => createRandomChooser(random)},
	{name: 'least-in-flight', createChooser: ({random}) => createLeastInFlightChooser(random)},
	{name: 'previous-version', createChooser: () => createFirstLeastInFlightChooser()},
	{
		name: 'with-hedging', createChooser, isHedging: true, isVariant: true,
	},
	{name: 'with-optimal-split', createChooser: (options, policyContext) => createSplitChooser(options, policyContext), isVariant: true},
	{
		name: 'with-try-timeout', createChooser, attemptTimeoutMs: 400, isVariant: true,
	},
	{
		name: 'with-limits', createChooser, isLimiting: true, isVariant: true,
	},
];
