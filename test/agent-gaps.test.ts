/**
Agents that miss records of the control stream because the store has dropped them.
*/
import {type Buffer} from 'node:buffer';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {ControlRecordType, controlTopic, encodeControlRecord} from '../src/agents/control-records.ts';
import {ControlWatch, EpochSource} from '../src/agents/control-watch.ts';
import {MemoryStore, StoreFault} from '../src/standin/memory-store.ts';
import {AppendOutcome} from '../src/types/store.ts';
import {ManualClock} from '../src/utils/manual-clock.ts';
import {createSite, jobId} from './site-setup.ts';
import {
	createSpec, createStep, partition, type SimulatedSite,
} from './simulated-site.ts';

const ref = {topic: controlTopic, partition};
/** Record that the store retains after those that were dropped. */
const lastRecord = encodeControlRecord({
	type: ControlRecordType.Lost, host: 'another', session: 0, epoch: 1,
});

let site: SimulatedSite | undefined;

afterEach(() => {
	site?.stop();
	expect(site?.violations ?? []).toEqual([]);
	site = undefined;
});

describe('an agent that reads nothing for longer than the store retains records', () => {
	/** Guards against an agent that refuses starts for ever: the end of the evacuation is published once and has been dropped. */
	it('does not keep an evacuation whose end it has missed', async () => {
		const clock = new ManualClock();
		const store = new MemoryStore(clock, partition + 1);
		let isSilent = false;
		store.getFault = ({client}) => isSilent && client === 'agent' ? StoreFault.LoseRequest : StoreFault.None;
		const owner = store.createClient('owner');
		const append = async (...records: Buffer[]): Promise<void> => {
			void owner.append(ref, records, {timeoutMs: 1000});
			await clock.advance(1500);
		};

		const aborter = new AbortController();
		const watch = new ControlWatch({
			store: store.createClient('agent'), ref, clock, host: 'host-0',
			prepareProof: () => undefined, onLost: () => undefined, onGap: () => undefined, onStoreState: () => undefined, onNewerEpoch: () => undefined, onInvalid: () => undefined,
		});
		void watch.run(aborter.signal);
		await append(encodeControlRecord({
			type: ControlRecordType.Evacuations, epoch: 1, asOf: 5, failureDomains: ['hall'],
		}));
		expect(watch.isEvacuated('hall')).toBe(true);
		isSilent = true;
		await clock.advance(1500);
		await append(encodeControlRecord({
			type: ControlRecordType.Evacuations, epoch: 1, asOf: 6, failureDomains: [],
		}));
		await append(lastRecord);
		store.trim(ref, 2);
		isSilent = false;
		await clock.advance(3000);
		aborter.abort();
		expect(watch.isEvacuated('hall')).toBe(false);
	});

	/** Guards against a host that no owner uses again: its agent has missed that it was declared lost, and its registration was removed. */
	it('registers again and gets tasks', async () => {
		site = await createSite(1, 1);
		const {store, clock} = site;
		store.getFault = ({client}) => client === 'host-0' ? StoreFault.LoseRequest : StoreFault.None;
		site.cuts.add('entry-0>host-0');
		await clock.advance(30_000);
		expect(site.notes.some(({event}) => event === 'agent lost')).toBe(true);
		const appended = await site.settle(store.createClient('owner').append(ref, [lastRecord], {timeoutMs: 1000}));
		expect(appended).toMatchObject({outcome: AppendOutcome.Appended});
		store.trim(ref, (appended as {offset: number}).offset);
		store.getFault = () => StoreFault.None;
		site.cuts.clear();
		await clock.advance(15_000);
		await site.submit(jobId, createSpec([createStep()]));
		await clock.advance(3000);
		expect(site.getStarts(`${jobId}.0.0.0`)).toBe(1);
	});
});

/** Guards against orders of a replaced owner at an agent that starts after the store has dropped the newer claim: the newer owner's other records name its epoch. */
it.each([
	encodeControlRecord({
		type: ControlRecordType.Evacuations, epoch: 7, asOf: 5, failureDomains: [],
	}),
	encodeControlRecord({
		type: ControlRecordType.Lost, host: 'another', session: 0, epoch: 7,
	}),
])('an agent that reads no claim refuses owners that are older than the writer of another record', async record => {
	const clock = new ManualClock();
	const store = new MemoryStore(clock, partition + 1);
	for (const value of [encodeControlRecord({type: ControlRecordType.Claim, epoch: 7, owner: 'o'}), record]) {
		void store.createClient('owner').append(ref, [value], {timeoutMs: 1000});
		await clock.advance(100);
	}

	store.trim(ref, 1);
	const aborter = new AbortController();
	const watch = new ControlWatch({
		store: store.createClient('agent'), ref, clock, host: 'host-0',
		prepareProof: () => undefined, onLost: () => undefined, onGap: () => undefined, onStoreState: () => undefined, onNewerEpoch: () => undefined, onInvalid: () => undefined,
	});
	void watch.run(aborter.signal);
	await clock.advance(100);
	aborter.abort();
	expect(watch.isCaughtUp).toBe(true);
	expect(watch.observeEpoch(6, EpochSource.Owner)).toBe(false);
	expect(watch.observeEpoch(7, EpochSource.Owner)).toBe(true);
});
