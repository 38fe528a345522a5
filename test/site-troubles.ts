/**
Faults of a site in random series, overlapping and repeated, on manual time.
*/
import fc from 'fast-check';
import {StoreFault} from '../src/standin/memory-store.ts';
import {OrderFault} from '../src/standin/site-worker.ts';
import {SubmitOutcome} from '../src/types/job-api.ts';
import {WorkflowState} from '../src/types/workflows.ts';
import {createSpec, createStep, SiteWorld} from './site-world.ts';

const hosts = ['host-0', 'host-1', 'host-2'];
const entries = ['entry-0', 'entry-1', 'entry-2'];

enum Trouble {
	KillEntry = 'kill-entry',
	FreezeEntry = 'freeze-entry',
	KillAgent = 'kill-agent',
	FreezeAgent = 'freeze-agent',
	CrashWorker = 'crash-worker',
	SilenceWorker = 'silence-worker',
	LateOrders = 'late-orders',
	LostAnswers = 'lost-answers',
	CutAgent = 'cut-agent',
	CutStore = 'cut-store',
	StoreAway = 'store-away',
	StoreLoses = 'store-loses',
	Rebalance = 'rebalance',
	Submit = 'submit',
}

/** One step of a series. */
export type Step = {trouble: Trouble; target: number; forMs: number; pauseMs: number};

const isAway = (fault: StoreFault, until: number) => ({fault, until});

/** Plays one step; whatever it breaks is whole again after `forMs`. */
const play = async (world: SiteWorld, {trouble, target, forMs}: Step, jobs: Map<string, SubmitOutcome>): Promise<void> => {
	const host = world.hosts.get(hosts[target % hosts.length]!)!;
	const entryName = entries[target % entries.length]!;
	const entry = world.entries.get(entryName);
	const later = (act: () => void) => {
		world.clock.setTimer(act, forMs);
	};

	switch (trouble) {
		case Trouble.KillEntry: {
			if (entry && world.entries.size > 1) {
				world.killEntry(entryName);
				later(() => {
					world.startEntry(entryName);
				});
			}

			break;
		}

		case Trouble.FreezeEntry: {
			if (entry && !entry.clock.isPaused) {
				entry.clock.isPaused = true;
				later(() => {
					entry.clock.resume();
				});
			}

			break;
		}

		case Trouble.KillAgent: {
			if (host.agent && !host.clock.isPaused) {
				world.killAgent(host.name);
				later(() => {
					world.startAgent(host.name);
				});
			}

			break;
		}

		case Trouble.FreezeAgent: {
			const {clock} = host;
			if (host.agent && !clock.isPaused) {
				clock.isPaused = true;
				later(() => {
					clock.resume();
				});
			}

			break;
		}

		case Trouble.CrashWorker: {
			host.worker.crash();
			break;
		}

		case Trouble.SilenceWorker: {
			host.worker.isSilent = true;
			later(() => {
				host.worker.isSilent = false;
			});
			break;
		}

		case Trouble.LateOrders:
		case Trouble.LostAnswers: {
			host.worker.fault = () => trouble === Trouble.LateOrders ? OrderFault.DoLate : OrderFault.LoseAnswer;
			later(() => {
				host.worker.fault = () => OrderFault.None;
			});
			break;
		}

		case Trouble.CutAgent: {
			const cuts = entries.map(name => `${name}>${host.name}`);
			for (const cut of cuts) {
				world.cuts.add(cut);
			}

			later(() => {
				for (const cut of cuts) {
					world.cuts.delete(cut);
				}
			});
			break;
		}

		case Trouble.CutStore:
		case Trouble.StoreAway:
		case Trouble.StoreLoses: {
			const {fault, until} = isAway(trouble === Trouble.StoreLoses ? StoreFault.LoseAnswer : StoreFault.Silence, world.clock.monotonicMs() + forMs);
			const victim = target % 2 === 0 ? host.name : entryName;
			const before = world.store.fault;
			world.store.fault = call => {
				const isHit = world.clock.monotonicMs() < until
					&& (trouble !== Trouble.CutStore || call.client === victim) && (trouble !== Trouble.StoreLoses || call.kind === 'append');
				return isHit ? fault : before(call);
			};

			break;
		}

		case Trouble.Rebalance: {
			world.store.rebalance('owners');
			break;
		}

		case Trouble.Submit: {
			const id = jobs.size.toString(16).padStart(16, '0');
			const spec = createSpec([createStep({count: 3, milliCpu: 700}), createStep({count: 2, milliCpu: 1500, after: [0]})]);
			jobs.set(id, (await world.submit(id, spec, [...world.entries.keys()][target % world.entries.size])).outcome);
			break;
		}
	}
};

const step = fc.record({
	trouble: fc.constantFrom(...Object.values(Trouble), Trouble.Submit, Trouble.Submit, Trouble.Submit),
	target: fc.nat(11),
	forMs: fc.integer({min: 200, max: 9000}),
	pauseMs: fc.integer({min: 10, max: 2500}),
});

/** Any series. */
export const anySeries = fc.array(step, {minLength: 4, maxLength: 24});

const calmMs = 45_000;

/** A site on which series are played. */
export const createTroubledSite = async (plan: SiteWorld['plan']): Promise<SiteWorld> => {
	const world = new SiteWorld();
	world.isRelaying = true;
	world.plan = plan;
	for (const name of hosts) {
		world.addHost(name);
	}

	for (const name of entries) {
		world.startEntry(name);
	}

	await world.clock.advance(1500);
	return world;
};

/** Plays a series and some calm after it, and ends the site; gives the accepted jobs that have not completed, with their states. */
export const playSeries = async (world: SiteWorld, steps: Step[], beforeStep: (index: number) => Promise<void>): Promise<Array<[string, string]>> => {
	const jobs = new Map<string, SubmitOutcome>();
	for (const [index, each] of steps.entries()) {
		await beforeStep(index);
		await play(world, each, jobs);
		await world.clock.advance(each.pauseMs);
	}

	await world.clock.advance(calmMs);
	const states: Array<[string, string]> = [];
	for (const [id, outcome] of jobs) {
		if (outcome === SubmitOutcome.Accepted) {
			states.push([id, await world.getState(id)]);
		}
	}

	world.stop();
	return states.filter(([, state]) => state !== (WorkflowState.Completed as string));
};
