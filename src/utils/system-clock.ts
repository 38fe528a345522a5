/**
The clock of the machine.
*/
import {performance} from 'node:perf_hooks';
import {type Clock, type Timer} from '../types/clock.ts';

/** Resolves after the delay or when the signal aborts; `setTimer` is the source of timers. */
export const sleepOn = async (
	setTimer: (callback: () => void, delayMs: number) => Timer,
	delayMs: number,
	signal?: AbortSignal,
): Promise<void> => {
	if (signal?.aborted) {
		return;
	}

	await new Promise<void>(resolve => {
		const finish = () => {
			timer.cancel();
			signal?.removeEventListener('abort', finish);
			resolve();
		};

		const timer = setTimer(finish, delayMs);
		signal?.addEventListener('abort', finish, {once: true});
	});
};

const setSystemTimer = (callback: () => void, delayMs: number): Timer => {
	const handle = setTimeout(callback, delayMs);
	return {
		cancel() {
			clearTimeout(handle);
		},
	};
};

/** Creates the clock of the machine. */
export const createSystemClock = (): Clock => ({
	monotonicMs: () => performance.now(),
	now: () => new Date(),
	setTimer: setSystemTimer,
	sleep: async (delayMs, signal) => sleepOn(setSystemTimer, delayMs, signal),
});
