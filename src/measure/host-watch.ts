/**
Passes the events of stand-in hosts on to the guarantee checker.
*/
import {HostEventType, type HostEvent} from '../standin/host-events.ts';
import {type Resources} from '../types/platform.ts';
import {type PromiseChecker} from './promise-checker.ts';

/** Records one event; all tasks of the run have the given resources. */
export const noteHostEvent = (checker: PromiseChecker, event: HostEvent, taskResources: Resources): void => {
	const {type, hostId, atMs, tryId = '', taskId = '', attempt = 0} = event;
	switch (type) {
		case HostEventType.Listening: {
			checker.noteBack(hostId);
			return;
		}

		case HostEventType.Ran: {
			checker.noteRan(hostId, tryId, atMs);
			return;
		}

		case HostEventType.Leaving: {
			checker.noteLeaving(hostId, atMs);
			return;
		}

		case HostEventType.TaskStarted: {
			checker.noteTaskStarted(hostId, taskId, attempt, taskResources);
			return;
		}

		case HostEventType.TaskEnded: {
			checker.noteTaskEnded(hostId, taskId);
		}
	}
};
