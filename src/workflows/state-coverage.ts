/**
What a state of an agent can say about a run. An owner may handle a state long after the agent built it, and orders starts meanwhile:
that a run is not in it, or that nothing runs on the worker, then says nothing about the runs that were ordered since.
*/
import {type WatchReply} from '../types/fleet.ts';
import {type FleetWorker} from './fleet-view.ts';
import {RunPhase, type LiveRun} from './live-model.ts';

/** Whether the state was built when the run's order could no longer be carried out without showing in it. */
export const isCoveredBy = ({agentLife, version, agentClockMs}: WatchReply, run: LiveRun): boolean => {
	if (run.isOrderPending) {
		return false;
	}

	// A new incarnation of the agent has raised the worker's fence, so starts sent by the one before are refused.
	if (agentLife !== run.agentLife) {
		return true;
	}

	// A start without an answer may be carried out until it expires on the agent's clock.
	return run.phase === RunPhase.Starting ? agentClockMs > run.notAfterMs : version >= run.confirmedVersion;
};

/**
Whether the state shows runs by a listing that was requested after the first state of the agent's incarnation had been built, and so after
this owner's claim. The listing that was on its way then may be old: agents and their workers' answers may be held up for seconds.
*/
export const hasRecentListing = ({firstListings}: FleetWorker, {listings}: WatchReply): boolean =>
	listings !== undefined && firstListings !== undefined && listings > firstListings + 1;
