/**
Which of the tasks on a worker that crashed may have caused it, and when one is given up as a query of death. Pure.

A crash takes down all that runs there, and most of it is innocent. A culprit shows by crashing again where it is the newest
run by far; an innocent one is cleared by the next run that lives.
*/
import {type TaskCrash} from '../types/workflows.ts';

/** One run that was on a worker as it fell silent. */
export type AboardTask = {
	crash: TaskCrash;
	/** Earlier crashes under the task. */
	earlier: TaskCrash[];
};

/** A run this young is a suspect at once. */
const promptMs = 500;
/** A run that was there for longer is not counted: its worker had every chance to crash before. */
const countedMs = 5000;
/** So many crashes under runs that were not that young make a suspect as well. */
const slowCrashes = 3;
/** A run has lived when it outlasts the longest of its crashes by this. */
const outlastTimes = 1.5;
/** Crashes in quarantine, each on a host that is sound, after which a task is given up. One may be a coincidence. */
const maxSoundCrashes = 2;
/** The same on any hosts, as long as they are not all one. */
const maxQuarantineCrashes = 3;

/** Crashes are forgotten after this: over months every task that lasts meets some. */
const countedForMs = 600_000;

/** Adds a crash to those of a task. */
export const addCrash = (crashes: TaskCrash[], crash: TaskCrash): TaskCrash[] =>
	[...crashes.filter(({atMs}) => crash.atMs - atMs <= countedForMs), crash];

/** Whether the next run has to be kept apart. */
export const isSuspect = (crashes: TaskCrash[]): boolean =>
	crashes.length >= slowCrashes || crashes.some(({ageMs}) => ageMs <= promptMs);

/** How long a run of a suspect is kept apart. */
export const getQuarantineMs = (crashes: TaskCrash[]): number => {
	let longestMs = 0;
	for (const {ageMs} of crashes) {
		longestMs = Math.max(longestMs, ageMs);
	}

	return Math.max(promptMs, outlastTimes * longestMs);
};

/** A host that crashes whatever it starts tells nothing of a task. */
const isHostSound = ({host, isHostProven}: TaskCrash, earlier: TaskCrash[]): boolean =>
	isHostProven || earlier.every(crash => crash.host !== host);

/** Whether the crash came in quarantine, with nothing newer on the worker. */
const isInQuarantine = ({ageMs, isNewest}: TaskCrash, earlier: TaskCrash[]): boolean =>
	isNewest && isSuspect(earlier) && ageMs <= getQuarantineMs(earlier);

/** Whether the task is given up. Runs are numbered, so that it does not matter in which order crashes are heard of. */
export const isGivenUp = (crashes: TaskCrash[]): boolean => {
	const hosts = new Set<string>();
	const earlier: TaskCrash[] = [];
	let quarantineCrashes = 0;
	let soundCrashes = 0;
	for (const crash of crashes.toSorted((a, b) => a.run - b.run)) {
		if (isInQuarantine(crash, earlier)) {
			quarantineCrashes++;
			soundCrashes += isHostSound(crash, earlier) ? 1 : 0;
		}

		earlier.push(crash);
		hosts.add(crash.host);
	}

	return soundCrashes >= maxSoundCrashes || (quarantineCrashes >= maxQuarantineCrashes && hosts.size > 1);
};

/** Chooses whom a crash counts for. A run in quarantine explains it; what ran beside that one is innocent. */
export const chooseSuspects = <Aboard extends AboardTask>(aboard: Aboard[]): Aboard[] => {
	const culprit = aboard.find(({crash, earlier}) => isInQuarantine(crash, earlier));
	return culprit ? [culprit] : aboard.filter(({crash}) => crash.ageMs <= countedMs);
};
