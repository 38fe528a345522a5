/**
Generates and plays random series of faults on a simulated site, overlapping and repeated, on manual time.
*/
import fc from 'fast-check';
import {StoreFault} from '../src/standin/memory-store.ts';
import {OrderFault} from '../src/standin/worker-options.ts';
import {SubmitOutcome} from '../src/types/job-api.ts';
import {WorkflowState} from '../src/types/workflows.ts';
import {createSpec, createStep, SimulatedSite} from './simulated-site.ts';

export const hosts = ['host-0', 'host-1', 'host-2'];
export const entries = ['entry-0', 'entry-1', 'entry-2'];

/** Kinds of faults; the set decides what a seed plays. */
export enum Fault {
	KillEntry = 'kill-entry',
	FreezeEntry = 'freeze-entry',
	KillAgent = 'kill-agent',
	FreezeAgent = 'freeze-agent',
	CrashWorker = 'crash-worker',
	UnresponsiveWorker = 'unresponsive-worker',
	LateOrders = 'late-orders',
	LostAnswers = 'lost-answers',
	CutAgent = 'cut-agent',
	CutStore = 'cut-store',
	StoreUnavailable = 'store-unavailable',
	LostStoreAnswers = 'lost-store-answers',
	Rebalance = 'rebalance',
	Submit = 'submit',
}

/** One step of a series. */
export type Step<Type = Fault> = {faultType: Type; target: number; forMs: number; pauseMs: number};

/** Outcomes of the submissions of a series, by id of the job. */
export type SubmittedJobs = Map<string, SubmitOutcome>;

const createOutage = (fault: StoreFault, until: number) => ({fault, until});

/** Plays one step; its fault ends after `forMs`. */
export const playStep = async (site: SimulatedSite, {faultType, target, forMs}: Step, jobs: SubmittedJobs): Promise<void> => {
	const host = site.hosts.get(hosts[target % hosts.length]!)!;
	const entryName = entries[target % entries.length]!;
	const entry = site.entries.get(entryName);
	const later = (act: () => void) => {
		site.clock.setTimer(act, forMs);
	};

	switch (faultType) {
		case Fault.KillEntry: {
			if (entry && site.entries.size > 1) {
				site.killEntry(entryName);
				later(() => {
					site.startEntry(entryName);
				});
			}

			break;
		}

		case Fault.FreezeEntry: {
			if (entry && !entry.clock.isPaused) {
				entry.clock.isPaused = true;
				later(() => {
					entry.clock.resume();
				});
			}

			break;
		}

		case Fault.KillAgent: {
			if (host.agent && !host.clock.isPaused) {
				site.killAgent(host.name);
				later(() => {
					site.startAgent(host.name);
				});
			}

			break;
		}

		case Fault.FreezeAgent: {
			const {clock} = host;
			if (host.agent && !clock.isPaused) {
				clock.isPaused = true;
				later(() => {
					clock.resume();
				});
			}

			break;
		}

		case Fault.CrashWorker: {
			host.worker.crash();
			break;
		}

		case Fault.UnresponsiveWorker: {
			host.worker.isUnresponsive = true;
			later(() => {
				host.worker.isUnresponsive = false;
			});
			break;
		}

		case Fault.LateOrders:
		case Fault.LostAnswers: {
			host.worker.getFault = () => faultType === Fault.LateOrders ? OrderFault.ExecuteLate : OrderFault.LoseAnswer;
			later(() => {
				host.worker.getFault = () => OrderFault.None;
			});
			break;
		}

		case Fault.CutAgent: {
			const cuts = entries.map(name => `${name}>${host.name}`);
			for (const cut of cuts) {
				site.cuts.add(cut);
			}

			later(() => {
				for (const cut of cuts) {
					site.cuts.delete(cut);
				}
			});
			break;
		}

		case Fault.CutStore:
		case Fault.StoreUnavailable:
		case Fault.LostStoreAnswers: {
			const {fault, until} = createOutage(faultType === Fault.LostStoreAnswers ? StoreFault.LoseAnswer : StoreFault.LoseRequest, site.clock.monotonicMs() + forMs);
			const victim = target % 2 === 0 ? host.name : entryName;
			const before = site.store.getFault;
			site.store.getFault = call => {
				const isHit = site.clock.monotonicMs() < until
					&& (faultType !== Fault.CutStore || call.client === victim) && (faultType !== Fault.LostStoreAnswers || call.kind === 'append');
				return isHit ? fault : before(call);
			};

			break;
		}

		case Fault.Rebalance: {
			site.store.rebalance('owners');
			break;
		}

		case Fault.Submit: {
			const id = jobs.size.toString(16).padStart(16, '0');
			const spec = createSpec([createStep({count: 3, milliCpu: 700}), createStep({count: 2, milliCpu: 1500, after: [0]})]);
			jobs.set(id, (await site.submit(id, spec, [...site.entries.keys()][target % site.entries.size])).outcome);
			break;
		}
	}
};

const step = fc.record({
	faultType: fc.constantFrom(...Object.values(Fault), Fault.Submit, Fault.Submit, Fault.Submit),
	target: fc.nat(11),
	forMs: fc.integer({min: 200, max: 9000}),
	pauseMs: fc.integer({min: 10, max: 2500}),
});

/** Random series of faults. */
export const faultSeries = fc.array(step, {minLength: 4, maxLength: 24});

/** Time without faults after a series. */
export const recoveryMs = 45_000;

/** Creates a site to play series on. */
export const createFaultySite = async (plan: SimulatedSite['plan']): Promise<SimulatedSite> => {
	const site = new SimulatedSite();
	site.isRelaying = true;
	site.plan = plan;
	for (const name of hosts) {
		site.addHost(name);
	}

	for (const name of entries) {
		site.startEntry(name);
	}

	await site.clock.advance(1500);
	return site;
};

/** Returns the accepted jobs that have not completed, with their states. */
export const getOpenJobs = async (site: SimulatedSite, jobs: SubmittedJobs): Promise<Array<[string, string]>> => {
	const states: Array<[string, string]> = [];
	for (const [id, outcome] of jobs) {
		if (outcome === SubmitOutcome.Accepted) {
			states.push([id, await site.getState(id)]);
		}
	}

	return states.filter(([, state]) => state !== (WorkflowState.Completed as string));
};

/** Plays a series and a time without faults, and stops the site; returns the accepted jobs that have not completed, with their states. */
export const runFaultSeries = async (site: SimulatedSite, steps: Step[], beforeStep: (index: number) => Promise<void>): Promise<Array<[string, string]>> => {
	const jobs: SubmittedJobs = new Map();
	for (const [index, each] of steps.entries()) {
		await beforeStep(index);
		await playStep(site, each, jobs);
		await site.clock.advance(each.pauseMs);
	}

	await site.clock.advance(recoveryMs);
	const open = await getOpenJobs(site, jobs);
	site.stop();
	return open;
};
