/**
How long tasks of a simulated site had nothing running between two runs.
*/
import {RunEnd} from '../src/types/workflows.ts';
import {type SimulatedSite} from './simulated-site.ts';

/** Callers count a task as lost that has nothing running for 3 s once the site has been calm for 4 s. */
export const maxIdleMs = 7000;
/** The same for a long-running task: 3 s, from 6 s after its last run. */
export const maxLastingIdleMs = 9000;
/** Downtime of a worker that a task has crashed. */
export const culpritDownMs = 2500;

/** Gets when the last run was lost with its worker; 0 if none was. */
export const getLastCrashMs = ({events}: SimulatedSite): number => events.findLast(event => event.type === 'ended' && event.end === 'lost')?.atMs ?? 0;

/** Longest time from the end of a run that did not succeed, or from the moment given if that is later, to the next start of its task, in ms. */
export const getLongestIdleMs = ({specs, events, clock}: SimulatedSite, ids: string[], fromMs = 0): number => Math.max(...ids.map(id => {
	const endedAtMs = new Map<string, number>();
	const isGang = specs.get(id)?.steps[0]?.isGang;
	let longestMs = 0;
	for (const event of events.filter(({taskId}) => taskId.startsWith(id))) {
		const {taskId, atMs} = event;
		// The end of one member stands for the gang, whose other runs end in other ways then.
		if (isGang && event.type === 'ended' && event.end === RunEnd.Done) {
			return longestMs;
		}

		if (event.type === 'started') {
			longestMs = Math.max(longestMs, atMs - Math.max(fromMs, endedAtMs.get(taskId) ?? atMs));
			endedAtMs.delete(taskId);
		} else if (event.type === 'ended' && event.end !== RunEnd.Done) {
			endedAtMs.set(taskId, atMs);
		}
	}

	return Math.max(longestMs, ...[...endedAtMs.values()].map(atMs => clock.monotonicMs() - Math.max(fromMs, atMs)));
}));
