/**
Recovery of a shard by a new owner, with workers that change while it waits for their answers.
*/
import {expect, test} from 'vitest';
import {CallLimiter} from '../src/jobs/call-limiter.ts';
import {type LeaseManager} from '../src/jobs/lease-manager.ts';
import {recoverShard} from '../src/jobs/recovery.ts';
import {type ShardOwner} from '../src/jobs/shard-owner.ts';
import {TaskPhase, type LiveTask} from '../src/jobs/shard-task.ts';
import {type Metrics} from '../src/types/metrics.ts';
import {ManualClock} from '../src/utils/manual-clock.ts';
import {createRandom} from '../src/utils/seeded-random.ts';

const waitMs = 10_000;

const createRecovery = (getLeaseManagers: () => LeaseManager[]) => {
	const clock = new ManualClock();
	const sealed: Array<[string, number]> = [];
	const released: LiveTask[] = [];
	const task = {phase: TaskPhase.Held} as LiveTask; // eslint-disable-line @typescript-eslint/consistent-type-assertions
	const owner = {
		shard: 0,
		fencingToken: 1,
		isClosed: false,
		onSealed(workerId: string, incarnation: number) {
			sealed.push([workerId, incarnation]);
		},
		list: () => [task],
		release(held: LiveTask) {
			released.push(held);
		},
	};
	const metrics: Partial<Metrics> = {timing: () => undefined};
	void recoverShard(owner as unknown as ShardOwner, {
		clock, random: createRandom(1), metrics: metrics as Metrics, limiter: new CallLimiter(10), waitMs, retryMs: 500, getLeaseManagers, isFleetKnown: () => false,
	});
	return {
		clock, sealed, released, stop() {
			owner.isClosed = true;
		},
	};
};

const createWorker = (workerId: string, seal: () => Promise<unknown>): LeaseManager => ({workerId, incarnation: 2, seal} as unknown as LeaseManager);

/** Guards against a seal that counts for the incarnation of a later listing, which was never sealed. */
test('a seal counts for the incarnation that answered it', async () => {
	const {clock, sealed, stop} = createRecovery(() => [createWorker('a', async () => ({incarnation: 1}))]);
	await clock.advance(100);
	stop();
	expect(sealed).toEqual([['a', 1]]);
});

/** Guards against a majority of the workers known at first: the earlier owner may still reach a majority of all, and renew leases. */
test('the wait begins anew when so many workers become known that those sealed are no majority any more', async () => {
	const workers: LeaseManager[] = [];
	const addWorkers = (count: number, isReached: () => boolean) => {
		for (let index = 0; index < count; index++) {
			workers.push(createWorker(`worker-${workers.length}`, async () => {
				if (!isReached()) {
					throw new Error('no answer');
				}

				return {incarnation: 1};
			}));
		}
	};

	let isReached = false;
	addWorkers(2, () => true);
	addWorkers(1, () => false);
	const {clock, released, stop} = createRecovery(() => [...workers]);
	await clock.advance(1000);
	addWorkers(4, () => isReached);
	await clock.advance(2 * waitMs);
	expect(released).toEqual([]);
	isReached = true;
	await clock.advance(waitMs - 1000);
	expect(released).toEqual([]);
	await clock.advance(3000);
	expect(released).toHaveLength(1);
	stop();
});
