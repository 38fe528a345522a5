/**
What a state of an agent can say about a run. An owner may handle a state long after the agent built it, and orders starts meanwhile:
that a run is not in it, or that nothing runs on the worker, then says nothing about the runs that were ordered since.
*/
import {type WatchReply} from '../types/fleet.ts';
import {hasDeparted, type FleetWorker} from './fleet-view.ts';
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
Whether the state shows what runs now. An agent whose worker does not answer lists runs that may have ended; one that was declared lost or has
stopped may list runs that an earlier owner has started elsewhere, after their leases had expired.
*/
export const isRecentListing = (worker: FleetWorker, {isAnswering, isOver}: WatchReply): boolean =>
	isAnswering && !isOver && worker.loss === undefined && !hasDeparted(worker);
