/**
An owner behind a slow link.
*/
import fc from 'fast-check';
import {afterEach, expect, it} from 'vitest';
import {OrderRefusal} from '../src/types/fleet.ts';
import {RunEnd} from '../src/types/workflows.ts';
import {createJobId} from './site-setup.ts';
import {SimulatedSite, createSpec, createStep} from './simulated-site.ts';
import {SlowLink} from './slow-link.ts';

let site: SimulatedSite;

afterEach(() => {
	site.stop();
	expect(site.violations).toEqual([]);
});

/** Creates a site whose calls to agents and to the store share the uplink of their entry. */
const createSite = async ({hosts, entries, bytesPerMs}: {hosts: number; entries: number; bytesPerMs: number}): Promise<void> => {
	site = new SimulatedSite();
	for (let index = 0; index < hosts; index++) {
		site.addHost(`host-${index}`, 16_000);
	}

	for (let index = 0; index < entries; index++) {
		site.uplinks.set(`entry-${index}`, new SlowLink(site.clock, bytesPerMs));
		site.startEntry(`entry-${index}`);
	}

	const storeCallBytes = 300;
	site.store.getDelayMs = ({client}) => site.uplinks.get(client)?.send(storeCallBytes) ?? 0;
	await site.clock.advance(2000);
};

/** Submits jobs while all workers are evacuated, and then lets their tasks start at the same moment. */
const submitAll = async (jobs: number, input: string, count: number): Promise<void> => {
	site.getEvacuations = () => ({asOf: 1, failureDomains: ['hall']});
	for (let number = 1; number <= jobs; number++) {
		await site.submit(createJobId(number), createSpec([createStep({count, milliCpu: 400})], {input}));
	}

	await site.clock.advance(1000);
	site.getEvacuations = () => ({asOf: 2, failureDomains: []});
};

const countNotes = (...events: string[]): number => site.notes.filter(({event}) => events.includes(event)).length;
const countExpired = (): number => site.notes.filter(({event, fields}) => event === 'start refused' && fields.refusal === OrderRefusal.Expired).length;
const countDone = (): number => site.events.filter(event => event.type === 'ended' && event.end === RunEnd.Done).length;

/** Guards against an owner whose burst of starts fills its link: the starts expire, its heartbeats wait behind them, and the next owner does the same. */
it('keeps the jobs and starts all tasks when hundreds wait', async () => {
	await createSite({hosts: 15, entries: 3, bytesPerMs: 62});
	await submitAll(25, 'x'.repeat(2000), 16);
	expect(await site.waitFor(() => countDone() === 400, 40_000)).toBeDefined();
	expect(countNotes('took over')).toBe(1);
	expect(countNotes('orders unanswered', 'agent lost')).toBe(0);
	expect(countExpired()).toBe(0);
});

/** Guards against the same at other rates of the link, sizes of inputs and numbers of tasks. */
it('keeps the jobs and starts all tasks at any rate', async () => {
	await fc.assert(fc.asyncProperty(fc.integer({min: 40, max: 2000}), fc.integer({min: 100, max: 4000}), fc.integer({min: 1, max: 30}), async (bytesPerMs, inputChars, jobs) => {
		await createSite({hosts: 6, entries: 2, bytesPerMs});
		await submitAll(jobs, 'x'.repeat(inputChars), 10);
		const transferMs = jobs * 10 * (inputChars + 1000) / bytesPerMs;
		const workMs = jobs * 10 * 1000 / (6 * 40);
		expect(await site.waitFor(() => countDone() === jobs * 10, 10_000 + (2 * (transferMs + workMs)))).toBeDefined();
		expect(countNotes('took over')).toBe(1);
		expect(countExpired()).toBe(0);
		site.stop();
	}), {seed: 48, numRuns: 15});
});

/** Guards against a link that carries the same input for each task of a job. */
it('carries the input of a job once to each agent', async () => {
	await createSite({hosts: 3, entries: 1, bytesPerMs: 1000});
	const inputChars = 4000;
	await submitAll(1, 'x'.repeat(inputChars), 90);
	const {sentBytes} = site.uplinks.get('entry-0')!;
	expect(await site.waitFor(() => countDone() === 90, 10_000)).toBeDefined();
	const othersBytes = 90 * 300;
	expect(site.uplinks.get('entry-0')!.sentBytes - sentBytes).toBeLessThan((3 * inputChars) + othersBytes + 60_000);
});
