/**
Measures every policy under every condition at every site.
*/
import {createError, ErrorCode} from '../core/errors.ts';
import {getNearest} from '../utils/nearest.ts';
import {type MeasureOptions, type MeasureReport, type MeasureRow} from './measure-types.ts';
import {conditions, fullLoad, overload} from './requests-conditions.ts';
import {ownPolicy, policies} from './requests-policies.ts';
import {Recorder} from './requests-recorder.ts';
import {runRequests, type RunOptions} from './requests-run.ts';
import {sites} from './requests-sites.ts';

/** What to measure; all by default. */
export type RequestsMeasureOptions = MeasureOptions & {
	conditions?: string[];
	policies?: string[];
	sites?: string[];
};

/** Target for the p99 of checks: at most this many times that of the best policy. */
const targetRatio = 1.03;
/** Runs for one row, each with its own seed. */
const repeats = 3;

const select = <Item extends {name: string}>(kind: string, items: Item[], names: string[] | undefined, fallback: Item[]): Item[] => {
	if (!names) {
		return fallback;
	}

	return names.map(name => {
		const item = items.find(known => known.name === name);
		if (!item) {
			const known = items.map(({name}) => name);
			const nearest = getNearest(name, known);
			const hint = nearest === undefined ? `one of ${known.join(', ')}` : `did you mean ${nearest}?`;
			throw createError(ErrorCode.BadInput, {step: `select ${kind}`, detail: `${name} is not known; ${hint}`});
		}

		return item;
	});
};

/** Runs the measurement. */
export const measureRequests = async (options: RequestsMeasureOptions): Promise<MeasureReport> => {
	const {seed, seconds, onProgress} = options;
	const chosenSites = select('site', sites, options.sites, sites);
	const chosenConditions = select('condition', conditions, options.conditions, conditions);
	const chosenPolicies = select('policy', policies, options.policies, policies.filter(({isVariant}) => !isVariant));
	const total = chosenSites.length * chosenConditions.length * chosenPolicies.length;
	const rows: MeasureRow[] = [];
	for (const site of chosenSites) {
		for (const condition of chosenConditions) {
			for (const policy of chosenPolicies) {
				onProgress(rows.length, total, `${site.name} ${condition.name} ${policy.name}`);
				rows.push({
					labels: {site: site.name, condition: condition.name, policy: policy.name},
					figures: getFigures({
						site, condition, policy, seed, seconds,
					}),
				});
			}
		}
	}

	return {
		matter: 'requests', seed, seconds, rows, notes: [...getTargetNotes(rows), ...getGoodputNotes(rows)],
	};
};

/** Runs the policy with several seeds and pools the figures, as one draw of hosts and faults is not representative. */
const getFigures = (options: Omit<RunOptions, 'recorder'>): Record<string, number> => {
	const recorder = new Recorder();
	let choiceDigest = 0;
	for (let repeat = 0; repeat < repeats; repeat++) {
		const result = runRequests({...options, recorder, seed: (options.seed * repeats) + repeat});
		if (result.maxRunning > options.site.slots) {
			const detail = `a host had ${result.maxRunning} requests at once in ${options.site.slots} slots`;
			throw createError(ErrorCode.Conflict, {step: 'measure requests', detail});
		}

		choiceDigest = ((choiceDigest * 31) + result.choiceDigest) % 2_147_483_647;
	}

	return {...recorder.getFigures(options.seconds * repeats), choiceDigest};
};

/** States for each site and condition whether the product's policy meets the target. */
const getTargetNotes = (rows: MeasureRow[]): string[] => {
	const notes: string[] = [];
	for (const own of rows.filter(({labels}) => labels.policy === ownPolicy)) {
		const rivals = rows.filter(({labels}) => labels.site === own.labels.site && labels.condition === own.labels.condition);
		const best = rivals.reduce((least, row) => row.figures.p99Ms! < least.figures.p99Ms! ? row : least);
		const ratio = own.figures.p99Ms! / best.figures.p99Ms!;
		const verdict = ratio <= targetRatio ? 'met' : 'missed';
		notes.push(`${own.labels.site} ${own.labels.condition}: p99 of checks ${ratio.toFixed(3)} times the best (${best.labels.policy}): ${verdict}`);
	}

	return notes;
};

const getGoodputNotes = (rows: MeasureRow[]): string[] => {
	const notes: string[] = [];
	for (const full of rows.filter(({labels}) => labels.condition === fullLoad)) {
		const over = rows.find(({labels}) => labels.condition === overload && labels.site === full.labels.site && labels.policy === full.labels.policy);
		if (over) {
			const answers = over.figures.goodputPerS! / full.figures.goodputPerS!;
			const work = over.figures.usefulMsPerS! / full.figures.usefulMsPerS!;
			notes.push(`${full.labels.site} ${full.labels.policy}: goodput at 1.3 is ${answers.toFixed(3)} of that at 1.0 in answers, ${work.toFixed(3)} in work`);
		}
	}

	return notes;
};
