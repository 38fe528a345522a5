/**
Disruption budgets on a site: workers that drain at once, owners that are killed, answers that are late, tasks that start up slowly.
*/
import {afterEach, expect, it} from 'vitest';
import {Feature, setAllFeatures} from '../src/core/site-features.ts';
import {OrderFault} from '../src/standin/worker-options.ts';
import {killOwner} from './departures.ts';
import {
	countStops, createDomainSite, getHosts, getMostAwayAtStops, submitLongRunning,
} from './site-budgets.ts';
import {type SimulatedSite} from './simulated-site.ts';

let site: SimulatedSite;

afterEach(() => {
	site.stop();
	expect(site.violations).toEqual([]);
});

/** Drains hosts for a time. */
const drain = (names: string[], remainingMs: number): void => {
	for (const name of names) {
		Object.assign(site.hosts.get(name)!.worker, {isDraining: true, remainingMs});
	}
};

const drainTwo = async (): Promise<void> => {
	await submitLongRunning(site, {count: 4, maxPerWorker: 1, maxAway: 1});
	drain([...getHosts(site).values()].slice(0, 2), 8000);
	await site.clock.advance(5000);
};

/** Guards against workers that drain at once and take several tasks of a step away in the same moment, though there is time. */
it('tasks on workers that drain at once leave in turn', async () => {
	site = await createDomainSite(Array.from({length: 8}, () => 'hall'));
	await drainTwo();
	expect(countStops(site)).toBe(2);
	expect(getMostAwayAtStops(site)).toBe(0);
	expect(site.notes.some(({event, fields}) => event === 'stop refused' && fields.reason === 'drain')).toBe(true);
});

it('tasks on workers that drain at once leave at once if budgets are off', async () => {
	site = await createDomainSite(Array.from({length: 8}, () => 'hall'), {features: setAllFeatures(true, {[Feature.DisruptionBudgets]: false})});
	await drainTwo();
	expect(countStops(site)).toBe(2);
	expect(getMostAwayAtStops(site)).toBe(1);
});

/** Guards against a task that is kept on a draining worker until that ends, because others do not come back. */
it('a task leaves a draining worker in time although another one of its step stays away', async () => {
	site = await createDomainSite(Array.from({length: 3}, () => 'hall'));
	await submitLongRunning(site, {count: 2, maxPerWorker: 1, maxAway: 1});
	const [[lost, lostHost], [taskId, host]] = [...getHosts(site)] as [[string, string], [string, string]];
	// Nothing starts anywhere, so that the lost task stays away.
	for (const {worker} of site.hosts.values()) {
		worker.getFault = order => order === 'start' ? OrderFault.Refuse : OrderFault.None;
	}

	site.hosts.get(lostHost)!.worker.crash(500);
	await site.clock.advance(1500);
	const {worker} = site.hosts.get(host)!;
	drain([host], 4000);
	const untilMs = site.clock.monotonicMs() + 4000;
	const countdown = (): void => {
		worker.remainingMs = Math.max(0, untilMs - site.clock.monotonicMs());
		site.clock.setTimer(countdown, 100);
	};

	countdown();
	await site.clock.advance(1500);
	expect(site.isRunning(lost)).toBe(false);
	expect(worker.running.has(taskId)).toBe(true);
	await site.clock.advance(2400);
	expect(worker.running.has(taskId)).toBe(false);
});

const evacuate = (asOf: number, ...failureDomains: string[]): void => {
	const evacuations = {asOf, failureDomains};
	site.getEvacuations = () => evacuations;
};

/** Site whose evacuated half holds a step, with room for all of it in the other half. */
const createEvacuatedSite = async (): Promise<void> => {
	site = await createDomainSite(['hall-a', 'hall-a', 'hall-a', 'hall-a']);
	await submitLongRunning(site, {count: 4, maxPerWorker: 1, maxAway: 1});
	for (let index = 4; index < 10; index++) {
		site.addHost(`host-${index}`, 4000, ['a', 'r1-1'], 'hall-b');
	}

	await site.clock.advance(1000);
};

const getEvacuatedHosts = (): string[] => [...getHosts(site).values()].filter(name => site.hosts.get(name)!.worker.announce().failureDomain === 'hall-a');

/** Guards against the next owner, which does not know that a task was stopped and not started again. */
it.each([0, 60, 120, 200, 400])('an owner that is killed %i ms after a stop has a successor that stops no other task before that one is back', async afterMs => {
	await createEvacuatedSite();
	evacuate(5, 'hall-a');
	expect(await site.waitFor(() => site.notes.some(({event}) => event === 'run evacuated'), 3000)).toBeDefined();
	await site.clock.advance(afterMs);
	killOwner(site);
	await site.clock.advance(25_000);
	expect(getEvacuatedHosts()).toEqual([]);
	expect(getHosts(site).size).toBe(4);
	expect(getMostAwayAtStops(site)).toBe(0);
});

/** Guards against a task that counts as back while its start has no answer yet. */
it('a task whose start is answered late counts as away until it is at work', async () => {
	await createEvacuatedSite();
	const remaining = {late: 2};
	for (const {worker} of site.hosts.values()) {
		worker.getFault = order => order === 'start' && remaining.late-- > 0 ? OrderFault.ExecuteLate : OrderFault.None;
		worker.getAnswerDelayMs = order => order === 'start' ? 600 : 0;
	}

	evacuate(5, 'hall-a');
	await site.clock.advance(40_000);
	expect(getEvacuatedHosts()).toEqual([]);
	expect(getMostAwayAtStops(site)).toBe(0);
});

/** Guards against further moves while a task starts up on a slow worker. */
it('a task that starts up slowly counts as away until it is at work', async () => {
	await createEvacuatedSite();
	site.plan = () => ({workMs: undefined, startupMs: 4000});
	evacuate(5, 'hall-a');
	await site.clock.advance(9000);
	const starts = site.events.filter(event => event.type === 'started' && event.run > 1);
	expect(starts.length).toBeGreaterThan(1);
	for (const [index, {atMs}] of starts.slice(1).entries()) {
		expect(atMs - starts[index]!.atMs).toBeGreaterThan(4000);
	}
});

/** Guards against a move beside a loss: an evacuation must not take a task away while another one is lost. */
it('a task stays in an evacuated domain while another one of its step is lost', async () => {
	site = await createDomainSite(['hall-a', 'hall-b', 'hall-b', 'hall-b', 'hall-b']);
	await submitLongRunning(site, {count: 5, maxPerWorker: 1, maxAway: 1});
	site.addHost('host-5', 4000, ['a', 'r1-1'], 'hall-b', true);
	await site.clock.advance(500);
	site.hosts.get('host-3')!.worker.crash(6000);
	await site.clock.advance(500);
	const since = site.events.length;
	evacuate(5, 'hall-a');
	await site.clock.advance(5000);
	expect(countStops(site, since)).toBe(0);
	site.hosts.get('host-5')!.worker.isDown = false;
	site.addHost('host-6', 4000, ['a', 'r1-1'], 'hall-b');
	site.addHost('host-7', 4000, ['a', 'r1-1'], 'hall-b');
	await site.clock.advance(8000);
	expect(countStops(site, since)).toBe(1);
	expect(getMostAwayAtStops(site)).toBe(0);
});
