/**
Messages between an owner and its agents: how many there are bounds how many workers one owner carries.
*/
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {type Agent} from '../src/agents/agent.ts';
import {type Owner} from '../src/workflows/owner.ts';
import {createSite, jobId} from './site-setup.ts';
import {
	createSpec, createStep, partition, type SiteWorld,
} from './site-world.ts';

let world: SiteWorld;
let asks: number;

const secondMs = 1000;

const getOwner = (site: SiteWorld): Owner => site.entries.get(site.getOwnerName()!)!.ownership.owners.get(partition) as Owner;

const countAsksOf = (agent: Agent): void => {
	const watch = agent.watch.bind(agent);
	agent.watch = async (...terms) => {
		asks++;
		return watch(...terms);
	};
};

/** Counts how often agents are asked for news from now on. */
const countAsks = (): void => {
	asks = 0;
	for (const {agent} of world.hosts.values()) {
		countAsksOf(agent!);
	}
};

/** Asks in a time, for each second. */
const countAsksPerS = async (forMs: number): Promise<number> => {
	const before = asks;
	await world.clock.advance(forMs);
	return secondMs * (asks - before) / forMs;
};

const startOne = async (id: string): Promise<void> => {
	await world.submit(id, createSpec([createStep({milliCpu: 500})]));
	await world.waitFor(() => world.getStarts(`${id}.0.0.0`) === 1, secondMs);
};

afterEach(() => {
	world.stop();
	expect(world.violations).toEqual([]);
});

describe('an owner', () => {
	/**
	Before the first job of a day an owner of 160 workers took 1,425 answers a second, each a call of its own. Agents that had not
	heard of their worker yet were asked again every 0.1 s.
	*/
	it('waits for news of an agent whose worker is not there yet', async () => {
		world = await createSite(1, 1);
		world.addHost('silent');
		countAsks();
		world.hosts.get('silent')!.agent!.workerLeft(world.hosts.get('silent')!.worker.workerId);
		await world.clock.advance(secondMs);
		expect(await countAsksPerS(10 * secondMs)).toBeLessThanOrEqual(2 * 3);
	});

	/**
	With 360 starts and as many ends a second, 850 answers came of which a third told the owner of starts that the answer to
	its own order had confirmed already.
	*/
	it('is told of a start once', async () => {
		world = await createSite(1, 1);
		world.plan = () => ({workMs: 100_000});
		await world.clock.advance(2 * secondMs);
		countAsks();
		const startMs = world.clock.monotonicMs();
		for (let index = 0; index < 8; index++) {
			await startOne(`00000000000000b${index}`);
			await world.clock.advance(20);
		}

		const passedS = (world.clock.monotonicMs() - startMs) / secondMs;
		expect(asks).toBeLessThanOrEqual(2 + (3 * passedS));
	});

	/** Tails are half a second old when a worker tells them. They waited as long again until the agent was due to tell them on. */
	it('is told new figures as soon as an agent has them', async () => {
		world = await createSite(1, 1);
		world.plan = () => ({workMs: 100_000});
		await world.submit(jobId, createSpec([createStep()]));
		await world.clock.advance(2 * secondMs);
		const worker = getOwner(world).links.workers.get('host-0')!;
		const ages: number[] = [];
		for (let samples = 0; samples < 500; samples++) {
			await world.clock.advance(10);
			ages.push(world.clock.monotonicMs() - worker.workerClockMs);
		}

		// A listing comes each half second, and takes some ms to the owner.
		expect(Math.max(...ages) - Math.min(...ages)).toBeLessThanOrEqual(550);
	});
});

describe('an agent whose ends are not stored yet', () => {
	/**
	Ends that the store has not taken are listed by the worker again each 0.1 s. With each listing the agent told its owner the
	figures of what still runs: ten answers a second of each of 160 agents while the store was slow.
	*/
	it('tells figures no more often than at other times', async () => {
		world = await createSite(1, 1);
		world.plan = ({taskId}) => ({workMs: taskId.endsWith('.0') ? 100 : 100_000});
		countAsks();
		world.store.getDelayMs = ({kind, client}) => kind === 'append' && client.startsWith('entry') ? 800 : 0;
		void world.submit(jobId, createSpec([createStep({count: 2, milliCpu: 500})]));
		await world.waitFor(() => world.events.some(({type}) => type === 'ended'), 5 * secondMs);
		expect(await countAsksPerS(700)).toBeLessThanOrEqual(5);
	});
});

describe('an entry that owns nothing', () => {
	/**
	Calls to the store cost callers of a large service more than anything but the hosts themselves: 102,727 in a day, most of them
	reads of 35 entries that each followed every end. An entry that only answers for jobs may learn of them somewhat later.
	*/
	it('reads the stream at most 25 times a second, however much is written', async () => {
		world = await createSite(4, 2);
		world.plan = () => ({workMs: 200});
		const reader = [...world.entries.keys()].find(name => name !== world.getOwnerName());
		let reads = 0;
		world.store.getDelayMs = ({kind, client}) => {
			reads += kind === 'read' && client === reader ? 1 : 0;
			return 0;
		};

		for (let index = 0; index < 40; index++) {
			void world.submit(`0000000000000c${String(index).padStart(2, '0')}`, createSpec([createStep({count: 3, milliCpu: 100})]));
			await world.clock.advance(25);
		}

		expect(reads).toBeLessThanOrEqual(25);
	});
});
