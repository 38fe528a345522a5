/**
Entries that leave the group of owners and join it again.
*/
import {afterEach, expect, it} from 'vitest';
import {StoreFault} from '../src/standin/memory-store.ts';
import {WorkflowState} from '../src/types/workflows.ts';
import {encodeRecord, RecordType, workflowsTopic} from '../src/workflows/records.ts';
import {createSite, jobId, otherId} from './site-setup.ts';
import {
	createSpec, createStep, partition, SimulatedSite,
} from './simulated-site.ts';

const nextId = '00000000000000a3';

let site: SimulatedSite;

const count = (event: string): number => site.notes.filter(note => note.event === event).length;

const getEpochs = (): number[] => site.notes.filter(({event}) => event === 'took over').map(({fields}) => fields.epoch as number);

afterEach(() => {
	site.stop();
	expect(site.violations).toEqual([]);
});

const runJob = async (id: string): Promise<void> => {
	await site.submit(id, createSpec([createStep(), createStep({after: [0]})]));
	await site.clock.advance(3000);
};

/** Guards against a second owner under the epoch of the first: the store takes its records for repetitions, confirms them and stores nothing. */
it('an entry whose leave the store refuses owns its jobs again only under a new epoch, and their ends are stored', async () => {
	site = await createSite(2, 1);
	site.plan = () => ({workMs: 500});
	await runJob(jobId);
	expect(await site.getState(jobId)).toBe(WorkflowState.Completed);
	const isGivenUp = () => count('jobs given up') > 0;
	site.store.getFault = ({kind, ref}) => (kind === 'read' && ref?.topic === workflowsTopic && !isGivenUp()) || (kind === 'join' && isGivenUp()) ? StoreFault.Refuse : StoreFault.None;
	expect(await site.waitFor(() => count('group not reached') > 0, 10_000)).toBeDefined();
	await site.clock.advance(170);
	// The record wakes the entry's long poll, so its view is recent again before the leave is repeated.
	const record = encodeRecord({type: RecordType.Cancel, id: otherId});
	await site.settle(site.store.createClient('callers').append({topic: workflowsTopic, partition}, [record], {timeoutMs: 1000}));
	site.store.getFault = () => StoreFault.None;
	expect(await site.waitFor(() => getEpochs().length > 1, 5000)).toBeDefined();
	await runJob(nextId);
	expect([await site.getState(nextId), ...getEpochs().map(epoch => epoch > 1)]).toEqual([WorkflowState.Completed, false, true]);
});

/** Guards against an owner that reads a newer claim just after its own has been checked and before it listens: it would go on unaware. */
it.each([0, 1, 2, 3, 4])('an owner that reads a newer claim %i steps after its own steps down', async steps => {
	site = new SimulatedSite();
	site.addHost('host-0');
	const {follower} = site.startEntry('entry-0');
	const catchUp = follower.catchUp.bind(follower);
	let isClaimed = false;
	follower.catchUp = async timeoutMs => {
		const isDone = await catchUp(timeoutMs);
		if (isDone && follower.fold.epoch > 0 && !isClaimed) {
			isClaimed = true;
			let step = Promise.resolve();
			for (let index = 0; index < steps; index++) {
				step = step.then(() => undefined);
			}

			void step.then(() => {
				follower.fold.apply({type: RecordType.Claim, epoch: follower.fold.epoch + 1, owner: 'entry-1'}, follower.fold.offset);
			});
		}

		return isDone;
	};

	await site.clock.advance(200);
	expect(isClaimed).toBe(true);
	expect(count('deposed')).toBe(1);
});
