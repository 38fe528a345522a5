/**
Descriptions of what shows that a run is lost, for the log.
*/
import {type WatchReply} from '../types/fleet.ts';
import {type FleetWorker} from './fleet-view.ts';
import {type LiveRun} from './live-model.ts';

/** Describes the state of an agent in a reply: which one it is, and how long ago the agent built it. */
export const describeState = ({agentClock}: FleetWorker, {agentLife, version, agentClockMs, isOver}: WatchReply, nowMs: number): Record<string, unknown> => ({
	state: {
		agentLife, version, agentClockMs: Math.round(agentClockMs), isOver, ageMs: Math.round(agentClock.estimate(nowMs) - agentClockMs),
	},
});

/** Describes what this owner knows of a run's start. */
export const describeRun = ({phase, isOrderPending, orderedAtMs, notAfterMs, confirmedVersion, agentLife}: LiveRun, nowMs: number): Record<string, unknown> => ({
	phase, isOrderPending, orderedAgoMs: Math.round(nowMs - orderedAtMs), notAfterMs: Math.round(notAfterMs), confirmedVersion, orderedLife: agentLife,
});
