/**
Simple load-balancing policies, used as baselines in measurements.
*/
import {type UpstreamAnnouncement} from '../types/announcements.ts';
import {type ChoiceContext, type Chooser} from '../types/choice.ts';
import {type Random} from '../types/random.ts';

type Candidates = readonly UpstreamAnnouncement[];
type PickUpstream = (candidates: Candidates, getInFlight: (upstreamId: string) => number) => UpstreamAnnouncement | undefined;

const createBaselineChooser = (pick: PickUpstream): Chooser => {
	const inFlight = new Map<string, number>();
	const getInFlight = (upstreamId: string) => inFlight.get(upstreamId) ?? 0;
	return {
		choose: (_serviceName: string, candidates: Candidates, context: ChoiceContext) =>
			pick(candidates.filter(({upstreamId}) => !context.excluded.has(upstreamId) && context.hasSlot(upstreamId)), getInFlight),
		recordStart(upstreamId) {
			inFlight.set(upstreamId, getInFlight(upstreamId) + 1);
		},
		recordEnd(upstreamId) {
			const count = getInFlight(upstreamId) - 1;
			if (count > 0) {
				inFlight.set(upstreamId, count);
			} else {
				inFlight.delete(upstreamId);
			}
		},
	};
};

/** Creates a chooser that takes upstreams in turn (round robin). */
export const createRoundRobinChooser = (): Chooser => {
	let turn = 0;
	return createBaselineChooser(candidates => candidates[turn++ % candidates.length]);
};

/** Creates a chooser that takes an upstream at random. */
export const createRandomChooser = (random: Random): Chooser =>
	createBaselineChooser(candidates => candidates[random.below(candidates.length)]);

/** Creates a chooser that takes the upstream with the fewest requests in flight; ties are broken at random. */
export const createLeastInFlightChooser = (random: Random): Chooser => createBaselineChooser((candidates, getInFlight) => {
	const least = Math.min(...candidates.map(({upstreamId}) => getInFlight(upstreamId)));
	const tied = candidates.filter(({upstreamId}) => getInFlight(upstreamId) === least);
	return tied[random.below(tied.length)];
});

/** Creates a chooser that takes the upstream with the fewest requests in flight; of several, the first. */
export const createFirstLeastInFlightChooser = (): Chooser => createBaselineChooser((candidates, getInFlight) => {
	let best: UpstreamAnnouncement | undefined;
	for (const candidate of candidates) {
		if (!best || getInFlight(candidate.upstreamId) < getInFlight(best.upstreamId)) {
			best = candidate;
		}
	}

	return best;
});
