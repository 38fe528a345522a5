/**
Simulates the loads of `src/measure/scheduling-load.ts` with the real owner: `tsx scripts/measure-scheduling.ts --seeds 5 --load heavy
--without value-order`. `--first` is the first seed, `--without` disables mechanisms of the policy, and `--known` gives the owner the
true interference of all pairs of images at the start. `filledShare` is the share of the capacity of `capacity-oracle.ts` that best-effort tasks
fill, summed over the moments with such tasks, and `repackedShare` that capacity with latency-critical tasks put together, over the capacity. `--features` turns features on: `all`, or names separated by commas.
*/
import process from 'node:process';
import {parseArgs} from 'node:util';
import {Feature, setAllFeatures} from '../src/core/site-features.ts';
import {getUsableCores, repackByImage} from '../src/measure/capacity-oracle.ts';
import {schedulingLoads} from '../src/measure/scheduling-load.ts';
import {simulateScheduling} from '../src/measure/scheduling-simulation.ts';
import {createPolicy} from '../src/workflows/policy.ts';

const {values} = parseArgs({
	options: {
		seeds: {type: 'string', default: '3'}, first: {type: 'string', default: '1'}, load: {type: 'string'}, without: {type: 'string', default: ''}, known: {type: 'boolean', default: false}, features: {type: 'string', default: ''}, evacuate: {type: 'string'}, lost: {type: 'boolean', default: false},
	},
});
const [fromS, toS] = (values.evacuate ?? '').split('-').map(Number);
const evacuation = values.evacuate === undefined ? undefined : {fromS: fromS!, toS: toS!, isLostAfter: values.lost};
const features = setAllFeatures(values.features === 'all', Object.fromEntries(values.features.split(',').filter(name => Object.values(Feature).includes(name as Feature)).map(name => [name, true])));
const countValues = (names: Iterable<string>): Record<string, number> => {
	const totals: Record<string, number> = {};
	for (const name of names) {
		totals[name] = (totals[name] ?? 0) + 1;
	}

	return totals;
};

for (const load of schedulingLoads.filter(({name}) => values.load === undefined || values.load === name)) {
	for (let seed = Number(values.first); seed < Number(values.first) + Number(values.seeds); seed++) {
		const startMs = performance.now();
		const capacity = {filled: 0, possible: 0, repacked: 0};
		const {credit, counts, lostCoreS, interferenceS, bestEffortCores, refusals, refusedJobs, copies} = await simulateScheduling(load, seed, {
			policy: createPolicy(values.without), features, isInterferenceKnown: values.known, evacuation, onSecond({filledCores, ...input}) {
				const possible = getUsableCores(input);
				capacity.filled += Math.min(possible, filledCores);
				capacity.possible += possible;
				capacity.repacked += getUsableCores({...input, workers: repackByImage(input.workers)});
			},
		});
		let earned = 0;
		let totalPossible = 0;
		for (const sum of credit.values()) {
			earned += sum.earned;
			totalPossible += sum.possible;
		}

		const kinds = Object.fromEntries([...credit].map(([name, sum]) => [name, Number((sum.earned / sum.possible).toFixed(3))]));
		process.stdout.write(`${JSON.stringify({
			load: load.name, seed, without: values.without, known: values.known, worth: Number((earned / totalPossible).toFixed(4)), kinds, counts: Object.fromEntries(counts), copies, lostCoreS: Math.round(lostCoreS), harmS: Math.round(interferenceS), fillingCores: Math.round(bestEffortCores), refusals, refused: countValues(refusedJobs.values()), filledShare: Number((capacity.filled / capacity.possible).toFixed(3)), repackedShare: Number((capacity.repacked / capacity.possible).toFixed(3)), tookMs: Math.round(performance.now() - startMs),
		})}\n`);
	}
}
