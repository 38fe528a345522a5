/**
Plays series of departures on a simulated site and checks, in addition to its invariants, that no run is taken for lost while it is
active, and that once the faults have ended the site is sound and older long-running tasks start soon after a takeover.
*/
import {LookupOutcome, SubmitOutcome} from '../src/types/job-api.ts';
import {DepartingSite} from './departing-site.ts';
import {killOwner, resumeMs} from './departures.ts';
import {
	entries, getOpenJobs, recoveryMs, type SubmittedJobs,
} from './site-faults.ts';
import {
	lastingPrefix, playDepartureStep, submitLasting, type AnyDepartureStep, type DepartureScene,
} from './site-departure-faults.ts';
import {type EventWatch} from './site-wide-faults.ts';
import {
	background, busyRecoveryMs, checkSoundSite, createLossCheck, createOrderWatch, haveTasksSucceeded, isOrderedBeforeSuccess, submitBackground, type Order,
} from './site-wide-series.ts';

const firstHosts = 4;
const firstLastingJobs = 3;
/** Older tasks start again within this time of a takeover's cause if all agents answer. */
const takeoverMs = 3000;
const calmMs = 5000;

const createChangingSite = async (): Promise<DepartingSite> => {
	const site = new DepartingSite();
	site.isRelaying = true;
	site.keepsCalls = true;
	site.plan = ({taskId, run}) => {
		if (taskId.startsWith(lastingPrefix)) {
			return {workMs: undefined};
		}

		return {
			workMs: taskId.startsWith(background.id) ? background.getWorkMs(taskId) : 300 + (900 * (taskId.codePointAt(15)! % 4)),
			isFailing: run === 1 && taskId.endsWith('3.0.1.1'),
		};
	};

	for (let index = 0; index < firstHosts; index++) {
		site.addHost(`host-${index}`);
	}

	for (const name of entries) {
		site.startEntry(name);
	}

	await site.clock.advance(1500);
	return site;
};

/** Long-running tasks of accepted jobs. */
const getLastingTasks = ({site, lastingJobs}: DepartureScene): string[] => [...lastingJobs]
	.filter(([, outcome]) => outcome === SubmitOutcome.Accepted)
	.flatMap(([id]) => Array.from({length: site.specs.get(id)!.steps[0]!.count}, (_, member) => `${id}.0.0.${member}`));

const checkLastingTasks = (scene: DepartureScene, moment: string): void => {
	const {site} = scene;
	for (const taskId of getLastingTasks(scene)) {
		const runs = [...site.hosts.values()].filter(({worker}) => worker.running.has(taskId)).length;
		if (runs !== 1) {
			site.violations.push(`${moment}, the long-running task ${taskId} has ${runs} runs`);
		}
	}
};

const checkRegistrations = async (site: DepartingSite): Promise<void> => {
	const registered = await site.getRegisteredHosts();
	const living = [...site.hosts.values()].filter(({agent}) => agent).map(({name}) => name).toSorted();
	if (registered.join(' ') !== living.join(' ')) {
		site.violations.push(`after the faults, ${registered.join(' ')} are registered while the agents of ${living.join(' ')} live`);
	}
};

/** Whether a crash was attributed to one of the tasks, by any owner so far: they then start one after another. */
const hasSuspect = (site: DepartingSite, taskIds: string[]): boolean => site.notes.some(({event, fields}) => event === 'crash counted' && taskIds.includes(fields.taskId as string));

/** Kills the owner and crashes a worker with long-running tasks at the same moment, while all agents answer. */
const checkTakeover = async (scene: DepartureScene): Promise<void> => {
	const {site} = scene;
	const host = [...site.hosts.values()].find(({worker}) => getLastingTasks(scene).some(taskId => worker.running.has(taskId)));
	if (!host || site.getOwnerName() === undefined) {
		site.violations.push(`before the takeover, there is no ${host ? 'owner' : 'long-running task'}`);
		return;
	}

	const notes = site.notes.length;
	const crashed = [...host.worker.running.keys()];
	killOwner(site);
	host.worker.crash();
	const boundMs = hasSuspect(site, crashed) ? resumeMs : takeoverMs;
	if (await site.waitFor(() => crashed.every(taskId => site.isRunning(taskId)), boundMs) === undefined) {
		site.violations.push(`${boundMs} ms after a takeover's cause, ${crashed.filter(taskId => !site.isRunning(taskId)).join(', ')} do not run`);
	}

	await site.clock.advance(calmMs);
	checkLastingTasks(scene, 'after the takeover');
	const lost = site.notes.slice(notes).filter(({event, fields}) => event === 'run lost' && fields.host !== host.name);
	if (lost.length > 0) {
		site.violations.push(`after the takeover, runs of other workers are lost: ${JSON.stringify(lost)}`);
	}
};

/** Plays a series on a new site, a time without faults, and a takeover; returns the violations and the accepted finite jobs that have not completed. */
export const runDepartureSeries = async (steps: AnyDepartureStep[], isBusy: boolean, watch?: (site: DepartingSite) => EventWatch): Promise<{violations: string[]; open: Array<[string, string]>}> => {
	const site = await createChangingSite();
	const jobs: SubmittedJobs = new Map();
	const orders = new Map<string, Order>();
	const watches = new Set<EventWatch>([createLossCheck(site), createOrderWatch(site, orders)]);
	if (watch) {
		watches.add(watch(site));
	}

	site.onNote = (source, event, fields) => {
		for (const each of watches) {
			each(source, event, fields);
		}
	};

	const scene: DepartureScene = {
		site, jobs, watches, lastingJobs: new Map(), atEnd: [],
	};
	for (let index = 0; index < firstLastingJobs; index++) {
		await submitLasting(scene);
	}

	if (isBusy) {
		await submitBackground(site, jobs);
	}

	for (const step of steps) {
		await playDepartureStep(scene, step);
		await site.clock.advance(step.pauseMs);
	}

	for (const act of scene.atEnd) {
		act();
	}

	await site.clock.advance(isBusy ? busyRecoveryMs : recoveryMs);
	const open = (await getOpenJobs(site, jobs)).filter(([id, state]) => state !== (LookupOutcome.Absent as string) || !haveTasksSucceeded(site, id));
	checkLastingTasks(scene, 'after the faults');
	await checkRegistrations(site);
	await checkSoundSite(site);
	await checkTakeover(scene);
	site.stop();
	return {violations: site.violations.filter(violation => !isOrderedBeforeSuccess(site, violation, orders)), open};
};
