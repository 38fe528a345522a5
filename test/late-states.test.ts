/**
States of an agent that are handled late, after the worker or its runs have changed.
*/
import {afterEach, expect, it} from 'vitest';
import {StoreFault} from '../src/standin/memory-store.ts';
import {type SiteWorker} from '../src/standin/site-worker.ts';
import {OrderFault} from '../src/standin/worker-options.ts';
import {type RunningRow, type WatchReply} from '../src/types/fleet.ts';
import {RunPhase, type LiveRun, type LiveTask} from '../src/workflows/live-model.ts';
import {type FleetWorker} from '../src/workflows/fleet-view.ts';
import {type RunTracker} from '../src/workflows/run-tracker.ts';
import {
	createTracker, createWorker, createWorkflow, load,
} from './site-fleet.ts';
import {createSite, jobId} from './site-setup.ts';
import {createSpec, createStep, type SimulatedSite} from './simulated-site.ts';

let site: SimulatedSite | undefined;

afterEach(() => {
	site?.stop();
	site = undefined;
});

const getNotes = (event: string): SimulatedSite['notes'] => site!.notes.filter(note => note.event === event);

const orderedAtMs = 1000;
const notAfterMs = 2500;

/** A worker with one ordered run, and the tracker of its owner. */
const createOrderedRun = (): {tracker: RunTracker; worker: FleetWorker; task: LiveTask; ordered: LiveRun} => {
	const {model} = load([createWorkflow(jobId, createSpec([createStep()]))]);
	const worker = createWorker('host-0');
	const tracker = createTracker(model);
	const [task] = [...model.getWaitingTasks(0, () => false)];
	const ordered = tracker.addRun(task!, worker, 1, {nowMs: orderedAtMs, notAfterMs});
	return {
		tracker, worker, task: task!, ordered,
	};
};

const createState = ({agentLife, report, session}: FleetWorker, state: Partial<WatchReply>): WatchReply => ({
	agentLife, session, version: 5, agentClockMs: 900, worker: report, workerClockMs: 0, leaseUntilMs: 0, isListed: true, isAnswering: true, isOver: false, running: [], ended: [], starting: [], crashed: [], goneWorkerIds: [], ...state,
});

const createExpiredState = (worker: FleetWorker, state: Partial<WatchReply>): WatchReply => createState(worker, {isAnswering: false, isOver: true, ...state});

const createRow = (run: number, checkpoint: string): RunningRow => ({
	taskId: `${jobId}.0.0.0`, run, checkpoint, percent: 50, recent: 0,
});

/** Guards against a run lost by a state from before its start. */
it('expired leases of a state from before a run was confirmed do not end the run, those of a later one do', () => {
	const {tracker, worker, task, ordered} = createOrderedRun();
	tracker.confirm(ordered, 9, 1100);
	tracker.applyReply(worker, createExpiredState(worker, {version: 5}), 1200);
	expect(task.runs.includes(ordered)).toBe(true);
	tracker.applyReply(worker, createExpiredState(worker, {version: 9, agentClockMs: 1300}), 1400);
	expect(task.runs).toHaveLength(0);
});

/** Guards against a run lost by a state from before its order arrived. */
it('expired leases do not end a run whose order is not answered yet', () => {
	const {tracker, worker, task, ordered} = createOrderedRun();
	tracker.applyReply(worker, createExpiredState(worker, {}), 1200);
	expect(task.runs.includes(ordered)).toBe(true);
	ordered.isOrderPending = false;
	tracker.applyReply(worker, createExpiredState(worker, {version: 6, agentClockMs: notAfterMs + 1}), 2600);
	expect(task.runs).toHaveLength(0);
});

/** Guards against a run lost by a state from before its order arrived, when the answer to the order was lost. */
it('expired leases do not end a run whose order got no answer and may still be carried out', () => {
	const {tracker, worker, task, ordered} = createOrderedRun();
	ordered.isOrderPending = false;
	tracker.applyReply(worker, createExpiredState(worker, {agentClockMs: notAfterMs}), 1200);
	expect(task.runs.includes(ordered)).toBe(true);
	expect(ordered.phase).toBe(RunPhase.Starting);
	tracker.applyReply(worker, createExpiredState(worker, {version: 6, agentClockMs: notAfterMs + 1}), 2600);
	expect(task.runs).toHaveLength(0);
});

/** Guards against a run number that is used again, and against lost checkpoints, when the leases of a worker have expired before a new owner reads its runs. */
it('numbers and checkpoints of the runs in a state with expired leases are known to the owner', () => {
	for (const {rows, lastRun} of [
		{rows: {running: [createRow(3, 'half')]}, lastRun: 3},
		{rows: {starting: [{taskId: `${jobId}.0.0.0`, run: 4}]}, lastRun: 4},
	]) {
		const {tracker, worker, task, ordered} = createOrderedRun();
		tracker.withdraw(ordered, worker);
		tracker.applyReply(worker, createExpiredState(worker, rows), 1200);
		expect(task.runs).toHaveLength(0);
		expect(task.lastRun).toBe(lastRun);
		expect(task.checkpoint.value).toBe('running' in rows ? 'half' : '');
	}
});

/** Guards against a checkpoint that is lost with its run because it comes in the state that shows the expiry. */
it('the checkpoint of a run whose leases have expired is kept', () => {
	const {tracker, worker, task, ordered} = createOrderedRun();
	tracker.confirm(ordered, 4, 1100);
	tracker.applyReply(worker, createExpiredState(worker, {running: [createRow(1, 'half')]}), 1200);
	expect(task.runs).toHaveLength(0);
	expect(task.checkpoint.value).toBe('half');
});

/** Guards against a run number that is used again after a takeover from a worker whose leases have expired. */
it('a new owner starts the tasks of a worker with expired leases under new numbers', async () => {
	site = await createSite(1, 1);
	site.plan = () => ({workMs: 60_000});
	await site.submit(jobId, createSpec([createStep()]));
	await site.clock.advance(500);
	site.killEntry('entry-0');
	site.store.getFault = () => StoreFault.LoseRequest;
	await site.clock.advance(1000);
	site.hosts.get('host-0')!.worker.isUnresponsive = true;
	expect(await site.waitFor(() => getNotes('leases over without an answer').length > 0, 15_000)).toBeDefined();
	site.store.getFault = () => StoreFault.None;
	site.addHost('host-1');
	site.startEntry('entry-1');
	await site.clock.advance(5000);
	const starts = site.events.filter(({type}) => type === 'started');
	expect(starts.map(({workerId}) => workerId)).toEqual(['host-0-1', 'host-1-1']);
	expect(starts[1]!.run).toBeGreaterThan(starts[0]!.run);
	expect(site.violations).toEqual([]);
});

/** Plays an outage of the store in which leases expire, and starts runs on a worker before the state that says so is handled; returns the worker. */
const startBeforeLateState = async (): Promise<SiteWorker> => {
	site = await createSite(2, 1);
	site.plan = () => ({workMs: 60_000});
	const {worker} = site.hosts.get('host-0')!;
	site.store.getFault = () => StoreFault.LoseRequest;
	await site.clock.advance(9000);
	site.store.getFault = () => StoreFault.None;
	await site.clock.advance(1000);
	site.getAnswerDelayMs = ({host, reply}) => host === 'host-0' && 'isOver' in reply ? (reply.isOver ? 1700 : 100) : 0;
	let dropped = 0;
	worker.getFault = order => order === 'renew' && dropped++ === 0 ? OrderFault.Drop : OrderFault.None;
	expect(await site.waitFor(() => getNotes('leases over without an answer').length > 0, 3000)).toBeDefined();
	expect(await site.waitFor(() => site!.hosts.get('host-0')!.agent!.state.worker!.isAnswering, 1000)).toBeDefined();
	await site.submit(jobId, createSpec([createStep({count: 8})]));
	expect(await site.waitFor(() => worker.running.size > 0, 300)).toBeDefined();
	expect(worker.running.size).toBe(4);
	expect(getNotes('state late')).toEqual([]);
	site.addHost('host-2');
	expect(await site.waitFor(() => getNotes('state late').length > 0, 3000)).toBeDefined();
	return worker;
};

/** Guards against tasks in two places after leases expired in an outage of the store, when the owner handles that state after it has started runs on the worker again. */
it('a state with expired leases that is handled late does not end runs that were started since', async () => {
	const worker = await startBeforeLateState();
	await site!.clock.advance(5000);
	expect(site!.violations).toEqual([]);
	expect(getNotes('run lost')).toEqual([]);
	expect(worker.running.size).toBe(4);
});

/** Guards against runs that are never found lost because a state with expired leases did not end them. */
it('runs that outlast a late state are lost when the leases of their worker expire', async () => {
	const worker = await startBeforeLateState();
	await site!.clock.advance(1000);
	worker.isUnresponsive = true;
	expect(await site!.waitFor(() => getNotes('run lost').length === 4, 15_000)).toBeDefined();
	await site!.clock.advance(3000);
	expect(getNotes('run lost').map(({fields}) => fields.reason)).toEqual(Array.from({length: 4}, () => 'leases-over'));
	expect(site!.hosts.get('host-2')!.worker.running.size).toBe(4);
	expect(site!.violations).toEqual([]);
});

/** Guards against tasks in two places on a worker that refuses renewals as unhealthy: its leases have expired, it accepts a start, and the state still says that nothing runs there. */
it('a start on a worker whose leases have expired is not taken for ended', async () => {
	site = await createSite(2, 1);
	site.plan = () => ({workMs: 60_000});
	const {worker} = site.hosts.get('host-0')!;
	site.store.getFault = () => StoreFault.LoseRequest;
	await site.clock.advance(8000);
	worker.getFault = order => order === 'renew' ? OrderFault.Refuse : OrderFault.None;
	expect(await site.waitFor(() => getNotes('leases over without an answer').length > 0, 3000)).toBeDefined();
	site.store.getFault = () => StoreFault.None;
	expect(await site.waitFor(() => site!.notes.some(({source, event}) => source === 'host-0' && event === 'store reached'), 3000)).toBeDefined();
	await site.clock.advance(1000);
	await site.submit(jobId, createSpec([createStep({count: 8})]));
	await site.clock.advance(1200);
	worker.getFault = () => OrderFault.None;
	await site.clock.advance(5000);
	expect(site.violations).toEqual([]);
	expect(getNotes('run lost')).toEqual([]);
	expect(worker.running.size).toBe(4);
});
