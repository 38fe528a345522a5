/**
Encoding of an agent's state as rows without member names. A busy agent sends its state several times a second, and on a slow
link the names alone took most of an owner's downstream.
*/
import {
	type EndedRow, type RunningRow, type WatchReply, type WorkerReport,
} from '../types/fleet.ts';

type RunningCells = [taskId: string, run: number, checkpoint: string, percent: number, recent: number];
type EndedCells = [number: number, taskId: string, run: number, end: EndedRow['end'], checkpoint: string];
type StartingCells = [taskId: string, run: number];
type ReportCells = [
	workerId: string, service: string, failureDomain: string, isDraining: boolean, remainingMs: number | undefined, milliCpu: number, memoryMb: number, accelerators: number, labels: string[], sequence: number, warmupRemainingMs?: number,
];

/** A state with its lists as rows. */
export type WatchReplyRows = Omit<WatchReply, 'worker' | 'running' | 'ended' | 'starting'> & {
	rows: {
		worker?: ReportCells;
		running: RunningCells[];
		ended: EndedCells[];
		starting: StartingCells[];
	};
};

/** Encodes a state. */
export const encodeWatchReply = ({worker, running, ended, starting, ...fields}: WatchReply): WatchReplyRows => ({
	...fields,
	rows: {
		worker: worker && encodeReport(worker),
		running: running.map(({taskId, run, checkpoint, percent, recent}): RunningCells => [taskId, run, checkpoint, percent, recent]),
		ended: ended.map(({number, taskId, run, end, checkpoint}): EndedCells => [number, taskId, run, end, checkpoint]),
		starting: starting.map(({taskId, run}): StartingCells => [taskId, run]),
	},
});

/** Decodes a state; one without rows comes from an agent of the previous version and is returned as it is. */
export const decodeWatchReply = (reply: WatchReply | WatchReplyRows): WatchReply => {
	if (!('rows' in reply)) {
		return reply;
	}

	const {rows: {worker, running, ended, starting}, ...fields} = reply;
	return {
		...fields,
		worker: worker && decodeReport(worker),
		running: running.map(([taskId, run, checkpoint, percent, recent]): RunningRow => ({
			taskId, run, checkpoint, percent, recent,
		})),
		ended: ended.map(([number, taskId, run, end, checkpoint]): EndedRow => ({
			number, taskId, run, end, checkpoint,
		})),
		starting: starting.map(([taskId, run]) => ({taskId, run})),
	};
};

const encodeReport = ({workerId, service, failureDomain, isDraining, remainingMs, milliCpu, memoryMb, accelerators, labels, sequence, warmupRemainingMs}: WorkerReport): ReportCells =>
	[workerId, service, failureDomain, isDraining, remainingMs, milliCpu, memoryMb, accelerators, labels, sequence, warmupRemainingMs];

const decodeReport = ([workerId, service, failureDomain, isDraining, remainingMs, milliCpu, memoryMb, accelerators, labels, sequence, warmupRemainingMs]: ReportCells): WorkerReport => ({
	// JSON has no undefined in arrays.
	workerId, service, failureDomain, isDraining, remainingMs: remainingMs ?? undefined, milliCpu, memoryMb, accelerators, labels, sequence, warmupRemainingMs: warmupRemainingMs ?? undefined,
});
