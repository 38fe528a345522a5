/**
Passes the events of stand-in hosts on to the guarantee checker.
*/
import {HostEventType, type HostEvent} from '../standin/host-events.ts';
import {type Resources} from '../types/platform.ts';
import {type GuaranteeChecker} from './guarantee-checker.ts';

/** Records one event; all tasks of the run have the given resources. */
export const recordHostEvent = (checker: GuaranteeChecker, event: HostEvent, taskResources: Resources): void => {
	const {type, hostId, atMs, tryId = '', taskId = '', attempt = 0} = event;
	switch (type) {
		case HostEventType.Listening: {
			checker.recordReturn(hostId);
			return;
		}

		case HostEventType.Ran: {
			checker.recordAttemptRun(hostId, tryId, atMs);
			return;
		}

		case HostEventType.Leaving: {
			checker.recordLeaving(hostId, atMs);
			return;
		}

		case HostEventType.TaskStarted: {
			checker.recordTaskStarted(hostId, taskId, attempt, taskResources);
			return;
		}

		case HostEventType.TaskEnded: {
			checker.recordTaskEnded(hostId, taskId);
		}
	}
};
