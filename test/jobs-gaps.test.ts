/**
Entries that miss records of the jobs stream because the log has dropped them before they were read.
*/
import {afterEach, expect, test} from 'vitest';
import {createError, ErrorCode} from '../src/core/errors.ts';
import {JobState} from '../src/types/jobs.ts';
import {Stream} from '../src/types/platform.ts';
import {createSpec, SimulatedCluster} from './jobs-harness.ts';

const retentionMs = 20_000;
const shards = 4;

let cluster: SimulatedCluster;

const countOwned = (): number => [...cluster.entries.values()].reduce((sum, {scheduler}) => sum + scheduler.ownership.owned.size, 0);

afterEach(async () => {
	await cluster.stop();
	expect(cluster.violations).toEqual([]);
});

/** Guards against shards that nobody owns any more: their entry has dropped them, and its renewals show that it lives. */
test.each([1, 2])('%i entries own their shards again after a gap, and run each task once', async entries => {
	cluster = new SimulatedCluster({
		entries, shards, retentionMs, getBehaviour: ({taskId}) => ({runTimeMs: taskId.startsWith('long') ? 300_000 : 2000}),
	});
	await cluster.runUntil(() => countOwned() === shards, 60_000);
	await cluster.clock.advance(10_000);
	const long = Array.from({length: 6}, (_, index) => `long-${index}`);
	for (const id of long) {
		await cluster.submit(createSpec(id));
	}

	await cluster.runUntil(() => cluster.getRunning().length === long.length);
	const {log} = cluster;
	const read = log.read.bind(log);
	let isSilent = true;
	log.read = async (stream, fromOffset, options) => {
		const page = await read(stream, fromOffset, options);
		if (isSilent && stream === Stream.Jobs) {
			throw createError(ErrorCode.PeerUnavailable, {step: 'read'});
		}

		return page;
	};

	await cluster.clock.advance(3 * retentionMs);
	isSilent = false;
	expect(await cluster.runUntil(() => countOwned() === shards, 120_000)).toBe(true);
	await cluster.submit(createSpec('after'));
	expect(await cluster.runUntil(() => cluster.getState('after') === JobState.Succeeded)).toBe(true);
	expect(long.map(id => cluster.starts.get(`${id}/0`)?.length)).toEqual(long.map(() => 1));
});
