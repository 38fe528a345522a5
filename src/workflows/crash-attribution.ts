/**
Decides which of the tasks on a crashed worker may have caused the crash, and when a task fails because it crashes workers (a
poison task). Pure functions.

A crash ends all runs on the worker, and most of them did not cause it. The task that did crashes again while its run is by
far the newest on the worker; any other is cleared by its next run that outlives the quarantine.
*/
import {type TaskCrash} from '../types/workflows.ts';

/** A run that was on a worker when the worker crashed. */
export type ResidentTask = {
	crash: TaskCrash;
	/** Crashes attributed to earlier runs of the task. */
	earlier: TaskCrash[];
};

/** A crash this soon after the start of a run makes its task a suspect at once. */
const promptCrashMs = 500;
/** A crash is not attributed to runs older than this: they had run for long without a crash. */
const maxCountedAgeMs = 5000;
/** This many crashes make a task a suspect, however long after their start its runs crashed. */
const minSuspectCrashes = 3;
/** The quarantine of a run lasts this many times the longest time that a run of the task took to crash. */
const quarantineFactor = 1.5;
/** A task fails after this many crashes in quarantine on sound hosts. A single one may be a coincidence. */
const maxSoundHostCrashes = 2;
/** A task also fails after this many crashes in quarantine on any hosts, unless all of its crashes were on one host. */
const maxQuarantineCrashes = 3;
/** A task also fails at this many crashes soon after its starts, if the last one was in quarantine on a sound host. */
const maxPromptCrashes = 3;

/** Crashes older than this do not count: over months every long-running task sees some. */
const crashRetentionMs = 600_000;

/** Adds a crash to those of a task and drops old ones. */
export const addCrash = (crashes: TaskCrash[], crash: TaskCrash): TaskCrash[] =>
	[...crashes.filter(({atMs}) => crash.atMs - atMs <= crashRetentionMs), crash];

/** Whether the next run has to start in quarantine. */
export const isSuspect = (crashes: TaskCrash[]): boolean =>
	crashes.length >= minSuspectCrashes || crashes.some(({ageMs}) => ageMs <= promptCrashMs);

/** How long a run of a suspect stays in quarantine. */
export const getQuarantineMs = (crashes: TaskCrash[]): number => {
	let longestMs = 0;
	for (const {ageMs} of crashes) {
		longestMs = Math.max(longestMs, ageMs);
	}

	return Math.max(promptCrashMs, quarantineFactor * longestMs);
};

/** Whether a crash on the host is evidence against the task: another task has succeeded there since its last crash, or the task has not crashed there before. */
const isHostSound = ({host, isHostProven}: TaskCrash, earlier: TaskCrash[]): boolean =>
	isHostProven || earlier.every(crash => crash.host !== host);

/** Whether the run crashed in quarantine and was the newest on the worker. */
const isInQuarantine = ({ageMs, isNewest}: TaskCrash, earlier: TaskCrash[]): boolean =>
	isNewest && isSuspect(earlier) && ageMs <= getQuarantineMs(earlier);

/** Whether the task fails because of its crashes. They are evaluated in order of run number, so the order in which they are reported does not matter. */
export const isCrashLimitReached = (crashes: TaskCrash[]): boolean => {
	const hosts = new Set<string>();
	const earlier: TaskCrash[] = [];
	let quarantineCrashes = 0;
	let soundCrashes = 0;
	let promptCrashes = 0;
	let hasFailedPromptly = false;
	for (const crash of crashes.toSorted((a, b) => a.run - b.run)) {
		promptCrashes += crash.ageMs <= promptCrashMs ? 1 : 0;
		if (isInQuarantine(crash, earlier)) {
			const isSound = isHostSound(crash, earlier);
			quarantineCrashes++;
			soundCrashes += isSound ? 1 : 0;
			hasFailedPromptly ||= isSound && crash.ageMs <= promptCrashMs && promptCrashes >= maxPromptCrashes;
		}

		earlier.push(crash);
		hosts.add(crash.host);
	}

	return hasFailedPromptly || soundCrashes >= maxSoundHostCrashes || (quarantineCrashes >= maxQuarantineCrashes && hosts.size > 1);
};

/** Whether one of the crashes is evidence against the task: it was in quarantine, and so apart from other suspects. */
export const hasCrashedInQuarantine = (crashes: TaskCrash[]): boolean =>
	crashes.some((crash, index) => isInQuarantine(crash, crashes.slice(0, index)));

/** Identifies the newest of the crashes: all tasks that a crash of a worker is attributed to have the same key for it. */
export const getNewestCrashKey = (crashes: TaskCrash[]): string => {
	const {host, atMs} = crashes.at(-1)!;
	return `${host} ${atMs}`;
};

/** Chooses the tasks that a crash is attributed to: only the one in quarantine if there is one, else all with a recent start. */
export const chooseSuspects = <Resident extends ResidentTask>(resident: Resident[]): Resident[] => {
	const culprit = resident.find(({crash, earlier}) => isInQuarantine(crash, earlier));
	return culprit ? [culprit] : resident.filter(({crash}) => crash.ageMs <= maxCountedAgeMs);
};
