/**
Ways of serving requests that are measured against each other.
*/
import {
	createLeastInFlightChooser, createPreviousChooser, createRandomChooser, createRoundRobinChooser,
} from '../requests/choice-baselines.ts';
import {createChooser, type ChooserOptions} from '../requests/choice.ts';
import {type Chooser} from '../types/choice.ts';

/** One way. */
export type Policy = {
	name: string;
	isHedging?: boolean;
	isLimiting?: boolean;
	/** Only measured when it is asked for. */
	isVariant?: boolean;
	createChooser(options: ChooserOptions): Chooser;
};

/** Name of the product's own way. */
export const ownPolicy = 'chervilworks';

/** All ways. */
export const policies: Policy[] = [
	{name: ownPolicy, createChooser},
	{name: 'round-robin', createChooser: () => createRoundRobinChooser()},
	{name: 'random', createChooser: ({random}) => createRandomChooser(random)},
	{name: 'least-in-flight', createChooser: ({random}) => createLeastInFlightChooser(random)},
	{name: 'previous-version', createChooser: () => createPreviousChooser()},
	{
		name: 'with-hedging', createChooser, isHedging: true, isVariant: true,
	},
	{
		name: 'with-limits', createChooser, isLimiting: true, isVariant: true,
	},
];
