/**
Gangs whose members start with one checkpoint, are complete or stopped in time, and work again after crashes, refusals, lost orders and takeovers.
*/
import fc from 'fast-check';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {type WatchReply} from '../src/types/fleet.ts';
import {RunEnd, WorkflowState} from '../src/types/workflows.ts';
import {OrderFault} from '../src/standin/worker-options.ts';
import {type LiveTask} from '../src/workflows/live-model.ts';
import {createSite, jobId, otherId} from './site-setup.ts';
import {
	createTracker, createWatchReply, createWorker, createWorkflow, load,
} from './site-fleet.ts';
import {
	createSpec, createStep, gangTimeoutMs, type SimulatedSite,
} from './simulated-site.ts';

const size = 4;
const hosts = 8;
const workMs = 9000;
/** One member fits on a worker. */
const spec = createSpec([createStep({
	count: size, milliCpu: 3000, estimateMs: workMs, isGang: true, isCheckpointing: true,
})]);

let site: SimulatedSite | undefined;

const startSite = async (entries = 2): Promise<SimulatedSite> => {
	site = await createSite(hosts, entries);
	site.checkpointMs = 1000;
	site.plan = () => ({workMs});
	return site;
};

afterEach(() => {
	site?.stop();
	expect(site?.violations ?? []).toEqual([]);
	site = undefined;
});

/** Hosts of the members that run. */
const getMemberHosts = ({hosts: all}: SimulatedSite, id = jobId): string[] => [...all.values()].filter(({worker}) => [...worker.running.keys()].some(taskId => taskId.startsWith(id))).map(({name}) => name);

const countEnds = ({events}: SimulatedSite, how: RunEnd): number => events.filter(event => event.type === 'ended' && event.end === how).length;

const getLastRun = ({events}: SimulatedSite): number => Math.max(...events.filter(({type}) => type === 'started').map(({run}) => run));

/** Whether all members run under one number. */
const isComplete = ({hosts: all}: SimulatedSite, id = jobId): boolean => {
	const runs = [...all.values()].flatMap(({worker}) => [...worker.running.values()]).filter(({start}) => start.taskId.startsWith(id)).map(({start}) => start.run);
	return runs.length === size && new Set(runs).size === 1;
};

const crash = ({hosts: all}: SimulatedSite, host: string): void => {
	all.get(host)!.worker.crash(1000);
};

describe('a gang whose worker crashes', () => {
	/** Guards against members that are started with different checkpoints, which workers refuse: the gang never works again. */
	it.each(Array.from({length: 24}, (_, index) => 2000 + (index * 97)))('works again, %d ms after its start', async crashAfterMs => {
		const played = await startSite();
		await played.submit(jobId, spec);
		await played.waitFor(() => isComplete(played), 2000);
		await played.clock.advance(crashAfterMs);
		crash(played, getMemberHosts(played)[1]!);
		expect(await played.waitFor(() => getLastRun(played) > 1 && isComplete(played), 4000)).toBeDefined();
		await played.clock.advance(workMs);
		expect(await played.getState(jobId)).toBe(WorkflowState.Completed);
		expect(countEnds(played, RunEnd.GangTimeout)).toBe(0);
	});

	it.each([0, 1500])('works again when a second one crashes %d ms later, also beside other gangs', async apartMs => {
		const played = await startSite();
		await played.submit(jobId, spec);
		await played.submit(otherId, spec);
		await played.waitFor(() => isComplete(played) && isComplete(played, otherId), 2000);
		await played.clock.advance(3300);
		const members = getMemberHosts(played);
		crash(played, members[0]!);
		await played.clock.advance(apartMs);
		crash(played, members[2]!);
		await played.clock.advance(25_000);
		expect([await played.getState(jobId), await played.getState(otherId)]).toEqual([WorkflowState.Completed, WorkflowState.Completed]);
		expect(countEnds(played, RunEnd.GangTimeout)).toBe(0);
	});

	it('works again when the owner is lost with it', async () => {
		const played = await startSite(3);
		await played.submit(jobId, spec);
		await played.clock.advance(3400);
		crash(played, getMemberHosts(played)[2]!);
		await played.clock.advance(150);
		played.killEntry(played.getOwnerName()!);
		await played.clock.advance(25_000);
		expect(await played.getState(jobId)).toBe(WorkflowState.Completed);
		expect(countEnds(played, RunEnd.GangTimeout)).toBe(0);
	});

	it('starts from the beginning if it writes no checkpoints', async () => {
		const played = await startSite();
		played.checkpointMs = undefined;
		await played.submit(jobId, spec);
		await played.clock.advance(3400);
		crash(played, getMemberHosts(played)[0]!);
		expect(await played.waitFor(() => getLastRun(played) > 1 && isComplete(played), 4000)).toBeDefined();
		await played.clock.advance(workMs + 1000);
		expect(await played.getState(jobId)).toBe(WorkflowState.Completed);
	});

	it('does not resume the next occurrence from the checkpoint of the last one', async () => {
		const played = await startSite();
		const checkpoints = new Map<string, Set<string>>();
		played.plan = ({taskId, checkpoint}) => {
			const occurrence = taskId.split('.')[1]!;
			checkpoints.set(occurrence, (checkpoints.get(occurrence) ?? new Set()).add(checkpoint));
			return {workMs: 4000};
		};

		await played.submit(jobId, {
			...spec, repeatCount: 2, firstDueMs: played.clock.now().getTime() + 200, intervalMs: 6000,
		});
		await played.clock.advance(15_000);
		expect(checkpoints).toEqual(new Map([['0', new Set([''])], ['1', new Set([''])]]));
	});
});

describe('a gang of which a member does not start', () => {
	/** Guards against members that wait for one whose start was refused, until the workers end them. */
	it.each([1, 3])('is stopped and starts again in time if a worker refuses %d starts', async refusals => {
		const played = await startSite();
		let refused = 0;
		const getFault = (order: string) => order === 'start' && refused++ < refusals ? OrderFault.Refuse : OrderFault.None;
		for (const {worker} of [...played.hosts.values()].slice(0, 2)) {
			worker.getFault = getFault;
		}

		await played.submit(jobId, spec);
		expect(await played.waitFor(() => isComplete(played), gangTimeoutMs)).toBeDefined();
		await played.clock.advance(workMs + 500);
		expect(await played.getState(jobId)).toBe(WorkflowState.Completed);
		expect(countEnds(played, RunEnd.GangTimeout)).toBe(0);
		expect(played.notes.filter(({event}) => event === 'gang incomplete').length).toBeGreaterThan(0);
	});

	/** The outcome of a lost start is not known before it has expired: the others are stopped before they have waited for too long. */
	it.each([OrderFault.Drop, OrderFault.ExecuteLate])('is stopped before its members give up if a start has no answer (%s)', async fault => {
		const played = await startSite();
		let starts = 0;
		played.hosts.get('host-0')!.worker.getFault = order => order === 'start' && starts++ === 0 ? fault : OrderFault.None;
		await played.submit(jobId, spec);
		expect(await played.waitFor(() => getLastRun(played) > 1 && isComplete(played), 8000)).toBeDefined();
		await played.clock.advance(workMs + 500);
		expect(await played.getState(jobId)).toBe(WorkflowState.Completed);
		expect(countEnds(played, RunEnd.GangTimeout)).toBe(0);
	});

	it('works although the answer to a start is lost', async () => {
		const played = await startSite();
		let starts = 0;
		played.hosts.get('host-0')!.worker.getFault = order => order === 'start' && starts++ === 0 ? OrderFault.LoseAnswer : OrderFault.None;
		await played.submit(jobId, spec);
		await played.clock.advance(workMs + 1500);
		expect(await played.getState(jobId)).toBe(WorkflowState.Completed);
		expect(getLastRun(played) % 10_000).toBe(1);
	});

	/** Guards against an owner that waits for members which the owner before has not started. */
	it('is stopped by the next owner, if its owner is lost between two orders', async () => {
		const played = await startSite(3);
		const owner = played.getOwnerName()!;
		played.cuts.add(`${owner}>host-0`);
		played.cuts.add(`${owner}>host-1`);
		await played.submit(jobId, spec, [...played.entries.keys()].find(name => name !== owner));
		await played.waitFor(() => getMemberHosts(played).length > 0, 2000);
		played.killEntry(owner);
		await played.clock.advance(25_000);
		expect(await played.getState(jobId)).toBe(WorkflowState.Completed);
	});

	/** Guards against a worker that crashes between the starts of two members. */
	it('starts again if a worker crashes while it is started', async () => {
		const played = await startSite();
		const victim = played.hosts.get('host-2')!.worker;
		let isCrashed = false;
		victim.getFault = order => {
			if (order === 'start' && !isCrashed) {
				isCrashed = true;
				victim.crash(1000);
			}

			return OrderFault.None;
		};

		await played.submit(jobId, spec);
		await played.clock.advance(workMs + 8000);
		expect(await played.getState(jobId)).toBe(WorkflowState.Completed);
		expect(countEnds(played, RunEnd.GangTimeout)).toBe(0);
	});
});

describe('checkpoints of the members of a gang', () => {
	const members = [0, 1, 2];
	type Step = {member: number; run: number; percent: number; isEnd: boolean; isEmpty: boolean};

	const createGang = (lastRun: number) => {
		const {model} = load([createWorkflow(jobId, createSpec([createStep({count: members.length, isGang: true, isCheckpointing: true})]))]);
		const tracker = createTracker(model);
		const workers = members.map(member => createWorker(`host-${member}`));
		const tasks = [...model.getWaitingTasks(0, () => false)];
		for (const [member, task] of tasks.entries()) {
			tracker.confirm(tracker.addRun(task, workers[member]!, lastRun, {nowMs: 0, notAfterMs: 1000}), 1, 0);
		}

		return {
			model, tracker, workers, tasks,
		};
	};

	const apply = ({tracker, workers}: ReturnType<typeof createGang>, {member, run, percent, isEnd, isEmpty}: Step, number: number): void => {
		const taskId = `${jobId}.0.0.${member}`;
		const checkpoint = isEmpty ? '' : `${run}-${percent}-${member}`;
		const {report} = workers[member]!;
		const rows: Partial<WatchReply> = isEnd
			? {
				ended: [{
					number, taskId, run, end: RunEnd.GangBroken, checkpoint,
				}],
			}
			: {
				running: [{
					taskId, run, checkpoint, percent, recent: 0,
				}],
			};
		tracker.applyReply(workers[member]!, createWatchReply({worker: report, version: number + 1, ...rows}), number);
	};

	const getCheckpoints = (tasks: LiveTask[]): string[] => [...new Set(tasks.map(({checkpoint}) => checkpoint.value))];

	/** Guards against a member that starts with another value than the rest, in whichever order their values come. */
	it('are one value at any moment, and what the stream gets is that value', () => {
		const step = fc.record({
			member: fc.nat(2), run: fc.integer({min: 1, max: 3}), percent: fc.nat(99), isEnd: fc.boolean(), isEmpty: fc.boolean(),
		});
		fc.assert(fc.property(fc.array(step, {maxLength: 30}), steps => {
			const gang = createGang(2);
			for (const [index, each] of steps.entries()) {
				apply(gang, each, index + 1);
				expect(getCheckpoints(gang.tasks)).toHaveLength(1);
				const stored = gang.model.takeUnstoredCheckpoints();
				expect(stored.length).toBeLessThanOrEqual(1);
				expect(stored.every(({checkpoint}) => checkpoint === gang.tasks[0]!.checkpoint.value)).toBe(true);
			}
		}), {seed: 67});
	});

	it('are not replaced by an older value of the same run, an earlier run or no value', () => {
		const gang = createGang(2);
		const steps: Array<[Partial<Step>, string]> = [
			[{member: 0, percent: 40}, '2-40-0'],
			[{member: 1, percent: 30}, '2-40-0'],
			[{member: 1, percent: 50}, '2-50-1'],
			[{member: 2, percent: 60, isEmpty: true}, '2-50-1'],
			[{member: 2, percent: 90, run: 1}, '2-50-1'],
			[{member: 0, percent: 70, isEnd: true}, '2-70-0'],
			[{member: 1, percent: 60}, '2-70-0'],
		];
		for (const [index, [each, expected]] of steps.entries()) {
			apply(gang, {
				member: 0, run: 2, percent: 0, isEnd: false, isEmpty: false, ...each,
			}, index + 1);
			expect(getCheckpoints(gang.tasks)).toEqual([expected]);
		}
	});
});
