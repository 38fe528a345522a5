/**
Refusals of jobs at the entries of a site, on manual time, while processes and the store fail.
*/
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {Feature, setAllFeatures} from '../src/core/site-features.ts';
import {StoreFault} from '../src/standin/memory-store.ts';
import {type EntryClient} from '../src/types/entries.ts';
import {LookupOutcome, SubmitOutcome, type SubmitReply} from '../src/types/job-api.ts';
import {type BacklogForecast} from '../src/types/admission.ts';
import {WorkflowState} from '../src/types/workflows.ts';
import {JobRefusalReason} from '../src/workflows/job-admission.ts';
import {RelayingApi} from '../src/workflows/relaying-api.ts';
import {encodeRecord, RecordType, workflowsTopic} from '../src/workflows/records.ts';
import {
	createJobId, createSite, jobId, otherId,
} from './site-setup.ts';
import {
	createSpec, createStep, partition, queue, service, SimulatedSite,
} from './simulated-site.ts';

const fleetKnownMs = 11_000;
const ref = {topic: workflowsTopic, partition};
const tooLarge = createSpec([createStep({milliCpu: 4001})]);
/** Ends at the earliest after 20 500 ms by the forecast below; of use for 7500 ms. */
const late = createSpec([createStep({count: 10})]);
const longWaits: BacklogForecast['queues'] = [{
	queue: queue.name, measuredJobs: 100, lowestRatio: 0.5, medianRatio: 1, waits: [{fromCoreMs: 8000, waitMs: 40_000}],
}];

let site: SimulatedSite;

beforeEach(async () => {
	site = await createSite();
});

afterEach(() => {
	site.stop();
	expect(site.violations).toEqual([]);
});

const getEpoch = () => Math.max(...[...site.entries.values()].map(({follower}) => follower.fold.epoch));

/** Stores a forecast as the owner of that epoch would. */
const publish = async (epoch = getEpoch(), queues = longWaits): Promise<void> => {
	await site.settle(site.store.createClient('owner').append(ref, [encodeRecord({
		type: RecordType.Forecast, forecast: {
			epoch, service, queues, fleet: undefined,
		},
	})], {timeoutMs: 1000}));
	await site.clock.advance(100);
};

const getForecast = (name: string) => site.entries.get(name)!.follower.fold.admission.forecasts.get(service)?.forecast;

const submitAt = async (name: string, id = jobId): Promise<SubmitReply> => site.submit(id, late, name);

/** Has a job accepted by an entry that has not read that another one has refused it. */
const acceptUnreadRefusal = async (): Promise<void> => {
	await site.clock.advance(500);
	site.store.getFault = ({kind, client}) => kind === 'read' && client === 'entry-0' ? StoreFault.LoseRequest : StoreFault.None;
	await site.clock.advance(1500);
	await site.settle(site.store.createClient('entry-1').append(ref, [encodeRecord({type: RecordType.Refused, id: jobId})], {timeoutMs: 1000}));
	expect((await submitAt('entry-0')).outcome).toBe(SubmitOutcome.Accepted);
};

describe('a job that no worker can hold', () => {
	it('is refused at once at every entry once the owner knows all workers, and never runs', async () => {
		await site.clock.advance(fleetKnownMs);
		const startMs = site.clock.monotonicMs();
		expect(await site.submit(jobId, tooLarge, 'entry-0')).toMatchObject({outcome: SubmitOutcome.Refused, reason: JobRefusalReason.NoWorker});
		expect((await site.submit(otherId, tooLarge, 'entry-1')).outcome).toBe(SubmitOutcome.Refused);
		expect(site.clock.monotonicMs() - startMs).toBeLessThan(200);
		expect(await site.getState(jobId, 'entry-1')).toBe(LookupOutcome.Absent);
		expect(site.notes.filter(({event}) => event === 'job refused')).toHaveLength(2);
	});

	it('is accepted before that, and while an owner is young', async () => {
		expect((await site.submit(jobId, tooLarge)).outcome).toBe(SubmitOutcome.Accepted);
		await site.clock.advance(fleetKnownMs);
		site.killEntry(site.getOwnerName()!);
		await site.waitFor(() => site.getOwnerName() !== undefined, 10_000);
		await site.clock.advance(2000);
		expect((await site.submit(otherId, tooLarge)).outcome).toBe(SubmitOutcome.Accepted);
	});

	/** Guards against a refusal by the workers of now of a job for which others are there in time. */
	it('is accepted if it repeats, whose occurrences may be due in an hour', async () => {
		await site.clock.advance(fleetKnownMs);
		const dueInAnHour = {
			...tooLarge, firstDueMs: site.clock.now().getTime() + 3_600_000, intervalMs: 1000, repeatCount: 1,
		};
		expect((await site.submit(jobId, dueInAnHour)).outcome).toBe(SubmitOutcome.Accepted);
	});

	it('is accepted where admission is off, and nothing is published', async () => {
		site.stop();
		site = new SimulatedSite();
		site.features = setAllFeatures(true, {[Feature.Admission]: false});
		site.addHost('host-0');
		site.startEntry('entry-0');
		await site.clock.advance(2000 + fleetKnownMs);
		expect((await site.submit(jobId, tooLarge)).outcome).toBe(SubmitOutcome.Accepted);
		expect(getForecast('entry-0')).toBeUndefined();
	});

	/** Entries are restarted one after the other with other settings: what one without admission accepts is not lost for a refusal that it has not read. */
	it('is kept if an entry without admission has accepted it after a refusal', async () => {
		site.features = setAllFeatures(true, {[Feature.Admission]: false});
		site.startEntry('entry-2');
		await site.clock.advance(500);
		site.store.getFault = ({kind, client}) => kind === 'read' && client === 'entry-2' ? StoreFault.LoseRequest : StoreFault.None;
		await site.clock.advance(1500);
		await site.settle(site.store.createClient('entry-1').append(ref, [encodeRecord({type: RecordType.Refused, id: jobId})], {timeoutMs: 1000}));
		expect((await submitAt('entry-2')).outcome).toBe(SubmitOutcome.Accepted);
		await site.clock.advance(5000);
		expect(await site.getState(jobId, 'entry-0')).toBe(WorkflowState.Completed);
	});

	it('runs once a worker has come that holds it, if its caller returns', async () => {
		await site.clock.advance(fleetKnownMs);
		await site.submit(jobId, tooLarge, 'entry-0');
		site.addHost('host-large', 8000);
		await site.clock.advance(fleetKnownMs);
		expect((await site.submit(jobId, tooLarge, 'entry-1')).outcome).toBe(SubmitOutcome.Accepted);
		await site.clock.advance(2000);
		expect(await site.getState(jobId)).toBe(WorkflowState.Completed);
	});

	/** The large worker is down for some seconds: it is not taken for gone. */
	it('is accepted while the worker that holds it is away', async () => {
		site.addHost('host-large', 8000);
		await site.clock.advance(fleetKnownMs);
		site.hosts.get('host-large')!.worker.isDown = true;
		site.killAgent('host-large');
		await site.clock.advance(fleetKnownMs);
		expect((await site.submit(jobId, tooLarge)).outcome).toBe(SubmitOutcome.Accepted);
	});
});

describe('a job that would end too late', () => {
	it('is refused, and accepted at any entry when its caller returns, with its age', async () => {
		await publish();
		expect(await submitAt('entry-0')).toMatchObject({outcome: SubmitOutcome.Refused, reason: JobRefusalReason.TooLate});
		await site.clock.advance(5000);
		await publish(getEpoch(), []);
		expect((await submitAt('entry-1')).outcome).toBe(SubmitOutcome.Accepted);
		await site.clock.advance(500);
		const {workflow} = site.entries.get('entry-0')!.follower.fold.workflows.get(jobId)!;
		expect(workflow.waitedMs).toBeGreaterThanOrEqual(5000);
		await site.clock.advance(4000);
		expect(await site.getState(jobId)).toBe(WorkflowState.Completed);
	});

	it('is accepted if it is in the stream already, whatever the forecast says', async () => {
		await submitAt('entry-0');
		await publish();
		expect((await submitAt('entry-1')).outcome).toBe(SubmitOutcome.Accepted);
	});

	/** Another entry has accepted it just before, and the one that decides on the next attempt has not read that. */
	it('is accepted if its record precedes the refusal and was not read yet', async () => {
		await publish();
		site.entries.get('entry-0')!.follower.fold.admission.forecasts.clear();
		site.store.getFault = ({kind, client}) => kind === 'read' && client === 'entry-1' ? StoreFault.LoseRequest : StoreFault.None;
		await site.clock.advance(800);
		expect((await submitAt('entry-0')).outcome).toBe(SubmitOutcome.Accepted);
		site.store.getFault = () => StoreFault.None;
		expect(site.entries.get('entry-1')!.follower.fold.workflows.has(jobId)).toBe(false);
		expect((await submitAt('entry-1')).outcome).toBe(SubmitOutcome.Accepted);
		expect(site.notes.filter(({event}) => event === 'job refused')).toHaveLength(1);
		await site.clock.advance(5000);
		expect(await site.getState(jobId)).toBe(WorkflowState.Completed);
	});

	/** The store carries out the append of a first attempt 3 s late, after another entry has refused the job. */
	it('never runs for an earlier attempt at another entry that had no answer', async () => {
		await publish();
		const {admission} = site.entries.get('entry-0')!.follower.fold;
		admission.forecasts.clear();
		site.store.getFault = ({kind, ref: called, client}) => kind === 'append' && called?.topic === workflowsTopic && client === 'entry-0' ? StoreFault.ExecuteLate : StoreFault.None;
		const first = site.entries.get('entry-0')!.jobs.submit(queue, jobId, late, 500);
		await site.clock.advance(700);
		expect((await first).outcome).toBe(SubmitOutcome.Unknown);
		expect((await submitAt('entry-1')).outcome).toBe(SubmitOutcome.Refused);
		await site.clock.advance(5000);
		expect(site.events).toEqual([]);
		expect(await site.getState(jobId, 'entry-1')).toBe(LookupOutcome.Absent);
	});

	/** An entry is behind with reading, accepts a caller that returns, and reads the refusal before its own record. */
	it('is submitted again by an entry that accepted it without knowing of the refusal', async () => {
		await site.clock.advance(500);
		const reader = site.entries.get('entry-0')!;
		site.store.getFault = ({kind, client}) => kind === 'read' && client === 'entry-0' ? StoreFault.LoseRequest : StoreFault.None;
		await site.clock.advance(1500);
		await site.settle(site.store.createClient('entry-1').append(ref, [encodeRecord({type: RecordType.Refused, id: jobId})], {timeoutMs: 1000}));
		expect((await submitAt('entry-0')).outcome).toBe(SubmitOutcome.Accepted);
		site.store.getFault = () => StoreFault.None;
		await site.clock.advance(3000);
		expect(site.notes.filter(({event}) => event === 'job submitted again')).toHaveLength(1);
		expect(reader.follower.fold.workflows.has(jobId)).toBe(true);
		await site.clock.advance(5000);
		expect(await site.getState(jobId)).toBe(WorkflowState.Completed);
	});

	/** Guards against an accepted job that is lost because the store takes nothing for longer than the entry tries to submit it again. */
	it('is submitted again after the store has taken nothing for long', async () => {
		await acceptUnreadRefusal();
		site.store.getFault = ({kind, client}) => kind === 'append' && client === 'entry-0' ? StoreFault.Refuse : StoreFault.None;
		await site.clock.advance(30_000);
		site.store.getFault = () => StoreFault.None;
		await site.clock.advance(8000);
		expect(await site.getState(jobId)).toBe(WorkflowState.Completed);
	});

	/** Guards against "no such job" about an accepted job, whose caller takes its cancellation for done while it is submitted again. */
	it('is not said to be absent by the entry that submits it again', async () => {
		await acceptUnreadRefusal();
		site.store.getFault = ({kind, client}) => kind === 'append' && client === 'entry-0' ? StoreFault.Refuse : StoreFault.None;
		await site.clock.advance(3000);
		const {jobs} = site.entries.get('entry-0')!;
		const relay = new RelayingApi({
			local: jobs,
			client: {
				getState: async () => ({outcome: LookupOutcome.Absent}),
				cancel: async () => LookupOutcome.Absent,
			} as unknown as EntryClient,
			clock: site.clock,
			getOthers: () => [{host: 'entry-1', address: 'entry-1'}],
			isStoreLost: () => false,
			note: () => undefined,
		});
		expect(await site.settle(relay.getState(queue, jobId, 1000))).toMatchObject({outcome: LookupOutcome.Found, state: WorkflowState.Queued});
		expect(await site.settle(relay.cancel(queue, jobId, 1000))).toBe(LookupOutcome.Unknown);
		site.store.getFault = () => StoreFault.None;
		await site.clock.advance(8000);
		expect(await site.getState(jobId)).toBe(WorkflowState.Completed);
	});

	it('is not refused while the store takes nothing', async () => {
		await publish();
		site.store.getFault = ({kind}) => kind === 'append' ? StoreFault.Refuse : StoreFault.None;
		expect((await submitAt('entry-0')).outcome).toBe(SubmitOutcome.NotAccepted);
		site.store.getFault = () => StoreFault.None;
		await site.clock.advance(3000);
		expect(site.events).toEqual([]);
	});

	/** The refusal is stored, and the store does not answer the read that shows what precedes it. */
	it('is reported as unknown if the stream cannot be read after the refusal', async () => {
		await publish();
		let hasAppended = false;
		site.store.getFault = ({kind, ref: called}) => {
			hasAppended ||= kind === 'append' && called?.topic === workflowsTopic;
			return kind === 'read' && hasAppended ? StoreFault.LoseRequest : StoreFault.None;
		};

		expect((await submitAt('entry-0')).outcome).toBe(SubmitOutcome.Unknown);
	});
});

describe('a forecast', () => {
	/** The owner is killed between its forecast and the decision of an entry. */
	it('holds until another owner claims the partition, and starts with none', async () => {
		await publish();
		const owner = site.getOwnerName()!;
		site.killEntry(owner);
		const other = owner === 'entry-0' ? 'entry-1' : 'entry-0';
		expect((await submitAt(other)).outcome).toBe(SubmitOutcome.Refused);
		await site.waitFor(() => site.getOwnerName() !== undefined, 10_000);
		await site.clock.advance(200);
		expect(getForecast(other)?.queues ?? []).toEqual([]);
		expect((await submitAt(other)).outcome).toBe(SubmitOutcome.Accepted);
	});

	/** The forecast of an owner that was replaced reaches the stream after the claim of the next one. */
	it('of an earlier epoch is ignored', async () => {
		const epoch = getEpoch();
		site.killEntry(site.getOwnerName()!);
		await site.waitFor(() => getEpoch() > epoch, 10_000);
		await publish(epoch);
		expect((await submitAt([...site.entries.keys()][0]!)).outcome).toBe(SubmitOutcome.Accepted);
	});

	it('is ignored once it is old', async () => {
		await publish();
		for (const {follower} of site.entries.values()) {
			follower.fold.admission.forecasts.get(service)!.writtenAfterMs -= 12_000;
		}

		expect((await submitAt('entry-0')).outcome).toBe(SubmitOutcome.Accepted);
	});

	it('is known to an entry that restarts, as are refusals', async () => {
		await publish();
		await submitAt('entry-0');
		const restarted = [...site.entries.keys()].find(name => name !== site.getOwnerName())!;
		site.killEntry(restarted);
		await site.clock.advance(500);
		site.startEntry(restarted);
		await site.clock.advance(500);
		await publish(getEpoch(), []);
		expect((await submitAt(restarted)).outcome).toBe(SubmitOutcome.Accepted);
		await site.clock.advance(3000);
		expect(await site.getState(jobId)).not.toBe(LookupOutcome.Absent);
	});

	it('is published in under a kilobyte, at most once a second, and every five seconds', async () => {
		for (let index = 0; index < 20; index++) {
			await site.submit(createJobId(index), createSpec([createStep({count: 4, estimateMs: 800})]));
			await site.clock.advance(400);
		}

		await site.clock.advance(20_000);
		const published = site.notes.filter(({event}) => event === 'backlog forecast');
		const seconds = site.clock.monotonicMs() / 1000;
		expect(published.length).toBeGreaterThan((seconds / 5) - 4);
		expect(published.length).toBeLessThanOrEqual(seconds);
		const {forecast} = site.entries.get('entry-0')!.follower.fold.admission.forecasts.get(service)!;
		expect(encodeRecord({type: RecordType.Forecast, forecast}).byteLength).toBeLessThan(1000);
		expect(forecast.queues[0]!.measuredJobs).toBeGreaterThan(10);
	});
});
