import {expect, it} from 'vitest';
import {getSchedulableWorkers} from '../src/workflows/schedulable-workers.ts';
import {createPolicy} from '../src/workflows/policy.ts';
import {createWorker} from './site-fleet.ts';

const nowMs = 1000;
const terms = {nowMs, policy: createPolicy(), evacuated: []};
const reachable = {isAnswering: true, lastReplyAtMs: nowMs};

it('includes a worker whose agent replies', () => {
	expect(getSchedulableWorkers([{...createWorker('host'), ...reachable}], terms)).toHaveLength(1);
});

it('excludes a worker whose lost agent has registered again before its loss is settled: all runs there will count as lost', () => {
	const worker = {
		...createWorker('host'), ...reachable, session: 2, loss: {session: 1, storedAtMs: 0},
	};
	expect(getSchedulableWorkers([worker], terms)).toEqual([]);
});
