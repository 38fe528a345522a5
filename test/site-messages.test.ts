/**
Number of messages between an owner and its agents, which limits how many workers one owner can serve.
*/
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {type Agent} from '../src/agents/agent.ts';
import {type Owner} from '../src/workflows/owner.ts';
import {createSite, jobId} from './site-setup.ts';
import {
	createSpec, createStep, partition, type SimulatedSite,
} from './simulated-site.ts';

let site: SimulatedSite;
let polls: number;

const secondMs = 1000;

const getOwner = (simulated: SimulatedSite): Owner => simulated.entries.get(simulated.getOwnerName()!)!.ownership.owners.get(partition) as Owner;

const countPollsOf = (agent: Agent): void => {
	const watch = agent.watch.bind(agent);
	agent.watch = async (...terms) => {
		polls++;
		return watch(...terms);
	};
};

/** Counts the polls of all agents from now on. */
const countPolls = (): void => {
	polls = 0;
	for (const {agent} of site.hosts.values()) {
		countPollsOf(agent!);
	}
};

/** Counts polls over a time; returns the number per second. */
const countPollsPerS = async (forMs: number): Promise<number> => {
	const before = polls;
	await site.clock.advance(forMs);
	return secondMs * (polls - before) / forMs;
};

const startOne = async (id: string): Promise<void> => {
	await site.submit(id, createSpec([createStep({milliCpu: 500})]));
	await site.waitFor(() => site.getStarts(`${id}.0.0.0`) === 1, secondMs);
};

afterEach(() => {
	site.stop();
	expect(site.violations).toEqual([]);
});

describe('an owner', () => {
	/**
	Without any job, an owner of 160 workers handled 1,425 answers a second, each from a call of its own. Agents whose worker had
	not announced itself yet were polled again every 0.1 s.
	*/
	it('uses long polls also for an agent without a worker', async () => {
		site = await createSite(1, 1);
		site.addHost('silent');
		countPolls();
		site.hosts.get('silent')!.agent!.handleWorkerLeave(site.hosts.get('silent')!.worker.workerId);
		await site.clock.advance(secondMs);
		expect(await countPollsPerS(10 * secondMs)).toBeLessThanOrEqual(2 * 3);
	});

	/**
	With 360 starts and as many ends a second, 850 answers came, a third of which only reported starts that the answer to the
	owner's order had confirmed already.
	*/
	it('gets one report of a start', async () => {
		site = await createSite(1, 1);
		site.plan = () => ({workMs: 100_000});
		await site.clock.advance(2 * secondMs);
		countPolls();
		const startMs = site.clock.monotonicMs();
		for (let index = 0; index < 8; index++) {
			await startOne(`00000000000000b${index}`);
			await site.clock.advance(20);
		}

		const passedS = (site.clock.monotonicMs() - startMs) / secondMs;
		expect(polls).toBeLessThanOrEqual(2 + (3 * passedS));
	});

	/** Tail latencies are half a second old when a worker reports them. Agents delayed them by as much again before they answered a poll. */
	it('gets new measurements as soon as an agent has them', async () => {
		site = await createSite(1, 1);
		site.plan = () => ({workMs: 100_000});
		await site.submit(jobId, createSpec([createStep()]));
		await site.clock.advance(2 * secondMs);
		const worker = getOwner(site).links.workers.get('host-0')!;
		const ages: number[] = [];
		for (let samples = 0; samples < 500; samples++) {
			await site.clock.advance(10);
			ages.push(site.clock.monotonicMs() - worker.workerClockMs);
		}

		// A listing comes every half second and takes some ms to reach the owner.
		expect(Math.max(...ages) - Math.min(...ages)).toBeLessThanOrEqual(550);
	});
});

describe('an agent whose ends are not stored yet', () => {
	/**
	A worker lists ends that are not stored yet again every 0.1 s. With each listing the agent reported the measurements of the
	active runs to its owner: ten answers a second from each of 160 agents while the store was slow.
	*/
	it('reports measurements no more often than at other times', async () => {
		site = await createSite(1, 1);
		site.plan = ({taskId}) => ({workMs: taskId.endsWith('.0') ? 100 : 100_000});
		countPolls();
		site.store.getDelayMs = ({kind, client}) => kind === 'append' && client.startsWith('entry') ? 800 : 0;
		void site.submit(jobId, createSpec([createStep({count: 2, milliCpu: 500})]));
		await site.waitFor(() => site.events.some(({type}) => type === 'ended'), 5 * secondMs);
		expect(await countPollsPerS(700)).toBeLessThanOrEqual(5);
	});
});

describe('an entry that owns nothing', () => {
	/**
	Calls to the store are the largest cost of a large service after the hosts: 102,727 in a day, most of them reads of 35
	entries that each followed every end. An entry that owns no jobs may read their records somewhat later.
	*/
	it('reads the stream at most 25 times a second, however much is written', async () => {
		site = await createSite(4, 2);
		site.plan = () => ({workMs: 200});
		const reader = [...site.entries.keys()].find(name => name !== site.getOwnerName());
		let reads = 0;
		site.store.getDelayMs = ({kind, client}) => {
			reads += kind === 'read' && client === reader ? 1 : 0;
			return 0;
		};

		for (let index = 0; index < 40; index++) {
			void site.submit(`0000000000000c${String(index).padStart(2, '0')}`, createSpec([createStep({count: 3, milliCpu: 100})]));
			await site.clock.advance(25);
		}

		expect(reads).toBeLessThanOrEqual(25);
	});
});
