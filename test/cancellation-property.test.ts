/**
Random series of faults on a site while callers cancel jobs at other entries than those that still work on their submission. Once a
cancellation is acknowledged, whether as "found" or as "absent", nothing of the job starts any more but for orders on their way, and
nothing of it is left in the end.
*/
import process from 'node:process';
import fc from 'fast-check';
import {expect, it} from 'vitest';
import {LookupOutcome} from '../src/types/job-api.ts';
import {WorkflowState} from '../src/types/workflows.ts';
import {createSpec, createStep, type SimulatedSite} from './simulated-site.ts';
import {
	createFaultySite, entries, Fault, recoveryMs, type SubmittedJobs,
} from './site-faults.ts';
import {
	createScene, createSeries, playWideStep, WideFault, type EventWatch, type WideStep,
} from './site-wide-faults.ts';

const {CANCELLATION_SEED: freshSeed, CANCELLATION_RUNS: freshRuns} = process.env;

/** Steps of the callers. */
enum CallerStep {
	/** Submits a job and cancels it at another entry, without waiting for the answer to the submission. */
	CancelInFlight = 'cancel-in-flight',
	/** The same, and the job comes again at a third entry after that. */
	CancelRepeated = 'cancel-repeated',
}

type SeriesStep = WideStep<Fault | WideFault | CallerStep>;

/** When the cancellation of each job was acknowledged. */
type Acknowledgements = Map<string, number | undefined>;

const timeoutMs = 2500;
const retryMs = 300;
/** Orders from before the cancellation may be on their way for this long: the store is down, the owner is suspended, or an order comes late. */
const cancelGraceMs = 20_000;
const feed = createSpec([createStep({count: 2, milliCpu: 200, isLasting: true})]);

/** Sends a call to an entry, which reads it when it runs; resolves to undefined if the entry is gone. */
const callEntry = async <Reply>(site: SimulatedSite, name: string, act: (jobs: SimulatedSite['entries'] extends Map<string, infer Entry> ? Entry : never) => Promise<Reply>): Promise<Reply | undefined> => {
	const entry = site.entries.get(name);
	if (!entry) {
		return undefined;
	}

	await entry.clock.waitUntilRunning();
	return site.entries.get(name) === entry ? act(entry) : undefined;
};

const submitAt = async (site: SimulatedSite, name: string, id: string): Promise<void> => {
	await callEntry(site, name, async ({relay}) => relay.submit(site.queue, id, feed, timeoutMs));
};

/** Cancels a job at one entry after the other until that is acknowledged. */
const cancelUntilAcknowledged = async (site: SimulatedSite, names: string[], id: string, acknowledgements: Acknowledgements): Promise<void> => {
	for (let attempt = 0; acknowledgements.get(id) === undefined; attempt++) {
		const name = names[attempt % names.length]!;
		const outcome = await Promise.race([
			callEntry(site, name, async ({relay}) => relay.cancel(site.queue, id, timeoutMs)),
			site.clock.sleep(timeoutMs),
		]);
		if (outcome === LookupOutcome.Found || outcome === LookupOutcome.Absent) {
			acknowledgements.set(id, site.clock.monotonicMs());
		}

		await site.clock.sleep(retryMs);
	}
};

const playCallerStep = (site: SimulatedSite, {faultType, target, detailMs}: SeriesStep, acknowledgements: Acknowledgements): void => {
	const id = (0xC0_00 + acknowledgements.size).toString(16).padStart(16, '0');
	const [first, ...others] = entries.map((_, index) => entries[(target + index) % entries.length]!);
	site.specs.set(id, feed);
	acknowledgements.set(id, undefined);
	void submitAt(site, first!, id);
	site.clock.setTimer(() => {
		void cancelUntilAcknowledged(site, others, id, acknowledgements);
	}, detailMs);
	if (faultType === CallerStep.CancelRepeated) {
		site.clock.setTimer(() => {
			void submitAt(site, others[1]!, id);
		}, detailMs * 2);
	}
};

const isCallerStep = (faultType: SeriesStep['faultType']): faultType is CallerStep => faultType === CallerStep.CancelInFlight || faultType === CallerStep.CancelRepeated;

const getViolations = async (site: SimulatedSite, acknowledgements: Acknowledgements): Promise<string[]> => {
	const violations = [...site.violations];
	for (const [id, acknowledgedAtMs] of acknowledgements) {
		if (acknowledgedAtMs === undefined) {
			violations.push(`the cancellation of ${id} is not acknowledged`);
			continue;
		}

		const late = site.events.filter(({type, taskId, atMs}) => type === 'started' && taskId.startsWith(id) && atMs > acknowledgedAtMs + cancelGraceMs);
		violations.push(...late.map(({taskId, atMs}) => `${taskId} starts ${atMs - acknowledgedAtMs} ms after the cancellation is acknowledged`));
		for (const {worker} of site.hosts.values()) {
			violations.push(...[...worker.running.keys()].filter(taskId => taskId.startsWith(id)).map(taskId => `${taskId} still runs`));
		}

		for (const name of site.entries.keys()) {
			const state = await site.getState(id, name);
			if (state !== WorkflowState.Cancelled && state !== LookupOutcome.Absent) {
				violations.push(`${id} is ${state} at ${name}`);
			}
		}
	}

	return violations;
};

const callerSteps = Object.values(CallerStep);
const series = createSeries<SeriesStep['faultType']>([
	...Object.values(Fault), WideFault.LateAppends, WideFault.LateAppendAnswers, WideFault.SuspendInSeries, Fault.FreezeEntry, Fault.CutStore, ...callerSteps, ...callerSteps, ...callerSteps, ...callerSteps,
]);

/** Guards against an acknowledged cancellation that does not hold for an attempt which is still on its way. */
it('cancelled jobs never run after the acknowledgement, with any series of faults', async () => {
	await fc.assert(fc.asyncProperty(series, async steps => {
		const site = await createFaultySite(({taskId}) => ({workMs: taskId.startsWith('000000000000c') ? undefined : 700}));
		site.keepsCalls = true;
		const jobs: SubmittedJobs = new Map();
		const watches = new Set<EventWatch>();
		const acknowledgements: Acknowledgements = new Map();
		for (const step of steps) {
			const {faultType} = step;
			if (isCallerStep(faultType)) {
				playCallerStep(site, step, acknowledgements);
			} else {
				await playWideStep(createScene(site, step, {jobs, watches}), {...step, faultType});
			}

			await site.clock.advance(step.pauseMs);
		}

		await site.clock.advance(recoveryMs);
		const violations = await getViolations(site, acknowledgements);
		site.stop();
		expect(violations).toEqual([]);
	}), {seed: Number(freshSeed ?? 73), numRuns: Number(freshRuns ?? 40), endOnFailure: true});
}, Number.POSITIVE_INFINITY);
