/**
Ways in which workers and hosts of a simulated site go, and how long tasks wait for their next run.
*/
import {createJobId, createSite} from './site-setup.ts';
import {createSpec, createStep, type SimulatedSite} from './simulated-site.ts';

/** A task runs again within this time of the end of its last run once nothing more happens. */
export const resumeMs = 6000;
/** The same, counted from the last event that happens to a host. */
export const calmMs = 7000;

/** Creates a site with a long-running task on each host, and room for all of them on any two. */
export const createLongRunningSite = async (hosts: number, entries: number): Promise<SimulatedSite> => {
	const site = await createSite(hosts, entries);
	site.plan = () => ({workMs: undefined});
	for (let index = 0; index < hosts; index++) {
		await site.submit(createJobId(index), createSpec([createStep({isLasting: true, milliCpu: 1000})]));
	}

	await site.clock.advance(1000);
	return site;
};

/** Starts another long-running task where there is most room, and returns its id and its host. */
export const startLongRunningTask = async (site: SimulatedSite, number: number): Promise<{taskId: string; host: string}> => {
	const id = createJobId(number);
	await site.submit(id, createSpec([createStep({isLasting: true, milliCpu: 1000})]));
	await site.clock.advance(500);
	return {taskId: `${id}.0.0.0`, host: getHostOf(site, `${id}.0.0.0`)};
};

/** Finds the host that runs a task. */
export const getHostOf = (site: SimulatedSite, taskId: string): string => [...site.hosts.values()].find(({worker}) => worker.running.has(taskId))!.name;

/** Kills the owner of the jobs; returns its name. */
export const killOwner = (site: SimulatedSite): string => {
	const name = site.getOwnerName()!;
	site.killEntry(name);
	return name;
};

/** Takes the owner away from the jobs, and waits for the takeover by another entry; returns the name of that one. */
export const replaceOwner = async (site: SimulatedSite): Promise<string> => {
	const notes = site.notes.length;
	killOwner(site);
	await site.waitFor(() => site.notes.slice(notes).some(({event}) => event === 'took over'), 6000);
	return site.notes.slice(notes).find(({event}) => event === 'took over')!.source;
};

/** The worker says that it ends, and ends; its agent lives on. */
export const endWorker = (site: SimulatedSite, name: string): void => {
	const {worker, agent} = site.hosts.get(name)!;
	const {workerId} = worker;
	worker.isDown = true;
	worker.crash();
	agent?.handleWorkerLeave(workerId);
};

/** Ends an agent as a signal to stop does: it answers no more calls, leaves, and ends. */
export const stopAgent = async (site: SimulatedSite, name: string): Promise<void> => {
	const host = site.hosts.get(name)!;
	const agent = host.agent!;
	host.agent = undefined;
	await site.settle(agent.leave());
	host.aborter.abort();
	host.clock.isPaused = true;
};

/** A host goes for good without a word: its worker, its runs and its agent. */
export const loseHost = (site: SimulatedSite, name: string): void => {
	const {worker, agent} = site.hosts.get(name)!;
	worker.isDown = true;
	worker.crash();
	if (agent) {
		site.killAgent(name);
	}
};

/** Longest time that the task was without a run until the given moment; undefined: it has none at that moment. */
export const getLongestGapMs = (site: SimulatedSite, taskId: string): number | undefined => {
	let endedAtMs: number | undefined;
	let longestMs = 0;
	for (const event of site.events) {
		if (event.taskId !== taskId) {
			continue;
		}

		if (event.type === 'ended') {
			endedAtMs = event.atMs;
		} else if (event.type === 'started') {
			longestMs = Math.max(longestMs, event.atMs - (endedAtMs ?? event.atMs));
			endedAtMs = undefined;
		}
	}

	return endedAtMs === undefined ? longestMs : undefined;
};

/** Waits until a task has been started the given number of times; returns the longest time that it was without a run. */
export const waitForStarts = async (site: SimulatedSite, taskId: string, starts: number): Promise<number | undefined> => {
	await site.waitFor(() => site.getStarts(taskId) >= starts, 40_000);
	return getLongestGapMs(site, taskId);
};
