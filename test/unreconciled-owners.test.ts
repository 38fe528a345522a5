/**
Owners that have taken over and may not start tasks from before their claim yet.
*/
import {afterEach, expect, it} from 'vitest';
import {StoreFault} from '../src/standin/memory-store.ts';
import {ManualClock} from '../src/utils/manual-clock.ts';
import {StartEligibility} from '../src/workflows/start-eligibility.ts';
import {
	createLongRunningSite, getLongestGapMs, killOwner, loseHost, resumeMs, startLongRunningTask, waitForStarts,
} from './departures.ts';
import {
	createTracker, createWatchReply, createWorker, createWorkflow, load,
} from './site-fleet.ts';
import {createSpec, createStep, type SimulatedSite} from './simulated-site.ts';
import {createJobId} from './site-setup.ts';

let created: SimulatedSite | undefined;

const createSite = async (hosts: number, entries: number): Promise<SimulatedSite> => {
	created = await createLongRunningSite(hosts, entries);
	return created;
};

/** Loses a host that does not run the task, as the owner is killed; returns the next owner once it has taken over. */
const replaceOwnerAsHostIsLost = async (site: SimulatedSite, taskHost: string): Promise<string> => {
	const next = [...site.entries.keys()].find(name => name !== site.getOwnerName())!;
	killOwner(site);
	loseHost(site, [...site.hosts.keys()].find(name => name !== taskHost)!);
	expect(await site.waitFor(() => site.notes.some(({source, event}) => source === next && event === 'run adopted'), 6000)).toBeDefined();
	return next;
};

afterEach(() => {
	created?.stop();
	expect(created?.violations ?? []).toEqual([]);
	created = undefined;
});

/** Guards against an owner that stops a run whose task it may not start yet: the task then waits until the owner has reconciled. */
it('a task that is moved away from a draining worker starts again in time although its owner waits for a lost host', async () => {
	const site = await createSite(4, 2);
	const {taskId, host} = await startLongRunningTask(site, 10);
	await replaceOwnerAsHostIsLost(site, host);
	site.hosts.get(host)!.worker.isDraining = true;
	expect(await site.waitFor(() => site.getStarts(taskId) === 2, 30_000)).toBeDefined();
	expect(getLongestGapMs(site, taskId)).toBeLessThan(resumeMs);
});

/** Guards against a task that waits for a lost host although its own run was listed after the claim, and has ended since. */
it('a task whose run ends after the takeover starts again in time although its owner waits for a lost host', async () => {
	const site = await createSite(4, 2);
	const {taskId, host} = await startLongRunningTask(site, 10);
	await replaceOwnerAsHostIsLost(site, host);
	// Until listings that were requested after the claim have come.
	await site.clock.advance(1500);
	site.hosts.get(host)!.worker.crash();
	expect(await waitForStarts(site, taskId, 2)).toBeLessThan(resumeMs);
});

/** Guards against a second run of a task that an agent has not listed: only what was listed after the claim runs nowhere else. */
it('a task that no agent has listed waits until the owner has reconciled', async () => {
	const site = await createSite(4, 2);
	const next = [...site.entries.keys()].find(name => name !== site.getOwnerName())!;
	const {taskId, host} = await startLongRunningTask(site, 10);
	site.cuts.add(`${next}>${host}`);
	killOwner(site);
	await site.clock.advance(9000);
	expect(site.getStarts(taskId)).toBe(1);
});

/** Guards against an owner that moves a run while its view of the jobs is too old for it to start anything. */
it('an owner whose view is too old moves no run', async () => {
	const site = await createSite(4, 1);
	const {taskId, host} = await startLongRunningTask(site, 10);
	site.store.getFault = ({kind, client, ref}) => client === 'entry-0' && kind === 'read' && ref?.topic === 'workflows' ? StoreFault.LoseRequest : StoreFault.None;
	expect(await site.waitFor(() => site.notes.some(({event}) => event === 'starts held'), 6000)).toBeDefined();
	site.hosts.get(host)!.worker.isDraining = true;
	await site.clock.advance(1500);
	expect(site.hosts.get(host)!.worker.running.has(taskId)).toBe(true);
	site.store.getFault = () => StoreFault.None;
	expect(await site.waitFor(() => site.getStarts(taskId) === 2, 5000)).toBeDefined();
});

/** Guards against members of a gang that start while an agent that has not listed its runs may run the others. */
it('a gang with a member that no agent has listed waits until the owner has reconciled', async () => {
	const site = await createSite(4, 2);
	const id = createJobId(11);
	await site.submit(id, createSpec([createStep({count: 4, isGang: true, milliCpu: 1500})]));
	await site.clock.advance(1000);
	const next = [...site.entries.keys()].find(name => name !== site.getOwnerName())!;
	site.cuts.add(`${next}>host-0`);
	killOwner(site);
	expect(await site.waitFor(() => site.notes.some(({source, event}) => source === next && event === 'run adopted'), 6000)).toBeDefined();
	site.hosts.get('host-1')!.worker.crash();
	await site.clock.advance(3000);
	expect(site.events.filter(({type, taskId}) => type === 'started' && taskId.startsWith(id))).toHaveLength(4);
});

/** Guards against a second run: a listing that was on its way at the claim, or that lacks ends, may show runs that have ended and whose tasks run elsewhere. */
it.each([
	{first: 5, listings: 5, isLocated: false},
	{first: 5, listings: 6, isLocated: false},
	{first: 5, listings: 7, isLocated: true},
	{first: 5, listings: undefined, isLocated: false},
	{first: undefined, listings: 7, isLocated: false},
])('a task whose run is listed is located: first listing $first, newest $listings', ({first, listings, isLocated}) => {
	const {model} = load([createWorkflow(createJobId(0), createSpec([createStep()]))]);
	const worker = {...createWorker('host-0'), firstListings: first};
	const [task] = [...model.getWaitingTasks(0, () => false)];
	createTracker(model).applyReply(worker, createWatchReply({
		listings, worker: worker.report, running: [{
			taskId: task!.taskId, run: 1, checkpoint: '', percent: 0, recent: 0,
		}],
	}), 1000);
	expect(task!.isLocated).toBe(isLocated);
});

/** Guards against a second run: an owner that has not read the claim may have seen the end of the run too, and start the task for some seconds more. */
it('a located task starts only when no start of an earlier owner can be valid any more', async () => {
	const {model} = load([createWorkflow(createJobId(0), createSpec([createStep()]))]);
	const clock = new ManualClock();
	const eligibility = new StartEligibility({
		clock, model, cancelMs: 3000, reconciliation: {isReconciled: false}, viewStaleness: {isTooStale: () => false},
	});
	eligibility.recordClaim(100);
	const [task] = [...model.getWaitingTasks(0, () => false)];
	await clock.advance(3001);
	expect(eligibility.mayStart(task!)).toBe(false);
	task!.isLocated = true;
	expect(eligibility.mayStart(task!)).toBe(true);
	eligibility.recordClaim(100);
	expect(eligibility.mayStart(task!)).toBe(false);
	await clock.advance(3000);
	expect(eligibility.mayStart(task!)).toBe(false);
});
