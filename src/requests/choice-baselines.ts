/**
Simple ways of choosing an upstream, against which the product's own is measured.
*/
import {type UpstreamAnnouncement} from '../types/announcements.ts';
import {type ChoiceContext, type Chooser} from '../types/choice.ts';
import {type Random} from '../types/random.ts';

type Candidates = readonly UpstreamAnnouncement[];
type Pick = (candidates: Candidates, getInFlight: (upstreamId: string) => number) => UpstreamAnnouncement | undefined;

const createFrom = (pick: Pick): Chooser => {
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

/** Creates a chooser that takes upstreams in turn. */
export const createRoundRobinChooser = (): Chooser => {
	let turn = 0;
	return createFrom(candidates => candidates[turn++ % candidates.length]);
};

/** Creates a chooser that takes any upstream. */
export const createRandomChooser = (random: Random): Chooser =>
	createFrom(candidates => candidates[random.below(candidates.length)]);

/** Creates a chooser that takes an upstream with the fewest requests in flight, any of several. */
export const createLeastInFlightChooser = (random: Random): Chooser => createFrom((candidates, getInFlight) => {
	const least = Math.min(...candidates.map(({upstreamId}) => getInFlight(upstreamId)));
	const equals = candidates.filter(({upstreamId}) => getInFlight(upstreamId) === least);
	return equals[random.below(equals.length)];
});

/** Creates the chooser of the product's first version: the first upstream with the fewest requests in flight. */
export const createPreviousChooser = (): Chooser => createFrom((candidates, getInFlight) => {
	let best: UpstreamAnnouncement | undefined;
	for (const candidate of candidates) {
		if (!best || getInFlight(candidate.upstreamId) < getInFlight(best.upstreamId)) {
			best = candidate;
		}
	}

	return best;
});
