/**
Plays wider series of faults on a simulated site and checks, in addition to its invariants, that no run is taken for lost while it is
active, and that the site is sound once the faults have ended.
*/
import {LookupOutcome} from '../src/types/job-api.ts';
import {RunEnd, WorkflowState} from '../src/types/workflows.ts';
import {createSpec, createStep, type SimulatedSite} from './simulated-site.ts';
import {
	createFaultySite, getOpenJobs, recoveryMs, type SubmittedJobs,
} from './site-faults.ts';
import {playHostStep, type HostStep} from './site-host-faults.ts';
import {createScene, type EventWatch} from './site-wide-faults.ts';

/** Records a violation if a run is taken for lost while it is active or its agent, which answers, lists it. */
export const createLossCheck = (site: SimulatedSite): EventWatch => (source, event, fields) => {
	if (event !== 'run lost') {
		return;
	}

	const {taskId, run, host: hostName, workerId, reason} = fields as {taskId: string; run: number; host: string; workerId: string; reason: string};
	const {worker, agent, clock} = site.hosts.get(hostName)!;
	const state = agent?.state.worker;
	const isActive = worker.workerId === workerId && worker.running.get(taskId)?.start.run === run;
	const isListed = !clock.isPaused && state?.report.workerId === workerId && state.isAnswering
		&& [...state.runs.running, ...state.runs.starting].some(row => row.taskId === taskId && row.run === run);
	if (isActive || isListed) {
		site.violations.push(`${taskId} run ${run} is lost to ${source} (${reason}) while it is ${isActive ? 'active' : 'listed'} on ${workerId}`);
	}
};

/** When a start was ordered, and when the lease of each worker had last lapsed by then. */
export type Order = {atMs: number; lapsedAtMs: Map<string, number>};

/** Records when each start was ordered. */
export const createOrderWatch = (site: SimulatedSite, orders: Map<string, Order>): EventWatch => (_, event, {taskId, run}) => {
	if (event === 'start') {
		orders.set(`${String(taskId)} run ${String(run)}`, {
			atMs: site.clock.monotonicMs(), lapsedAtMs: new Map([...site.hosts.values()].map(({worker}) => [worker.workerId, worker.lapsedAtMs])),
		});
	}
};

/**
Whether a violation is a start that was ordered before the task's success was stored, after the lease of the worker that had succeeded
had lapsed: the rules except it, since the order was on its way when the end came in.
*/
export const isOrderedBeforeSuccess = (site: SimulatedSite, violation: string, orders: Map<string, Order>): boolean => {
	const [, started, taskId] = /^((\S+) run \d+) is started after an owner has stored the task's success$/.exec(violation) ?? [];
	const order = started === undefined ? undefined : orders.get(started);
	const stored = site.events.find(event => event.type === 'forgotten' && event.taskId === taskId && event.end === RunEnd.Done);
	const end = site.events.find(event => event.type === 'ended' && event.taskId === taskId && event.end === RunEnd.Done && event.workerId === stored?.workerId);
	return order !== undefined && end !== undefined && order.atMs < stored!.atMs && (order.lapsedAtMs.get(end.workerId) ?? 0) >= end.atMs;
};

const probeId = 'ffffffffffffffff';
const probeTasks = 6;
const probeMs = 10_000;

/** Once all faults have ended, a job's tasks start exactly once and no run is lost. */
export const checkSoundSite = async (site: SimulatedSite): Promise<void> => {
	const notes = site.notes.length;
	await site.submit(probeId, createSpec([createStep({count: probeTasks, milliCpu: 1500})]));
	await site.clock.advance(probeMs);
	const state = await site.getState(probeId);
	if (state !== WorkflowState.Completed) {
		site.violations.push(`the job after the faults is ${state}`);
	}

	const starts = Array.from({length: probeTasks}, (_, member) => site.getStarts(`${probeId}.0.0.${member}`));
	const lost = site.notes.slice(notes).filter(({event}) => event === 'run lost');
	if (starts.some(count => count !== 1) || lost.length > 0) {
		site.violations.push(`after the faults, tasks start ${starts.join(', ')} times and ${lost.length} runs are lost (${[...new Set(lost.map(({fields}) => fields.reason))].join(', ')})`);
	}
};

/** Work that is on the site from the start: tasks of some seconds on each worker, step after step. */
export const background = {
	id: 'eeeeeeeeeeeeeeee',
	steps: 5,
	tasks: 9,
	milliCpu: 1000,
	getWorkMs: (taskId: string) => 2000 + (700 * (Number(taskId.at(-1)) % 8)),
};

/** Time without faults in which the background work ends too. */
export const busyRecoveryMs = 75_000;

/** Submits the background work. */
export const submitBackground = async (site: SimulatedSite, jobs: SubmittedJobs): Promise<void> => {
	const {id, steps, tasks, milliCpu} = background;
	const spec = createSpec(Array.from({length: steps}, (_, index) => createStep({count: tasks, milliCpu, after: index === 0 ? [] : [index - 1]})));
	jobs.set(id, (await site.submit(id, spec)).outcome);
};

/** Whether all tasks of a job have succeeded; the site keeps a finished job for a minute only. */
export const haveTasksSucceeded = (site: SimulatedSite, id: string): boolean => {
	const done = new Set(site.events.filter(event => event.type === 'ended' && event.end === RunEnd.Done).map(({taskId}) => taskId));
	return site.specs.get(id)!.steps.every(({count}, step) => Array.from({length: count}, (_, member) => `${id}.0.${step}.${member}`).every(taskId => done.has(taskId)));
};

/** Plays a series on a new site, and a time without faults; returns the violations and the accepted jobs that have not completed. */
export const runWideSeries = async (steps: HostStep[], isBusy = false): Promise<{violations: string[]; open: Array<[string, string]>; site: SimulatedSite}> => {
	const site = await createFaultySite(({taskId, run}) => ({
		workMs: taskId.startsWith(background.id) ? background.getWorkMs(taskId) : 300 + (900 * (taskId.codePointAt(15)! % 4)),
		isFailing: run === 1 && taskId.endsWith('3.0.1.1'),
	}));
	site.keepsCalls = true;
	const jobs: SubmittedJobs = new Map();
	const orders = new Map<string, Order>();
	const watches = new Set<EventWatch>([createLossCheck(site), createOrderWatch(site, orders)]);
	site.onNote = (source, event, fields) => {
		for (const watch of watches) {
			watch(source, event, fields);
		}
	};

	if (isBusy) {
		await submitBackground(site, jobs);
	}

	for (const step of steps) {
		await playHostStep(createScene(site, step, {jobs, watches}), step);
		await site.clock.advance(step.pauseMs);
	}

	await site.clock.advance(isBusy ? busyRecoveryMs : recoveryMs);
	const open = (await getOpenJobs(site, jobs)).filter(([id, state]) => state !== (LookupOutcome.Absent as string) || !haveTasksSucceeded(site, id));
	await checkSoundSite(site);
	site.stop();
	return {violations: site.violations.filter(violation => !isOrderedBeforeSuccess(site, violation, orders)), open, site};
};
