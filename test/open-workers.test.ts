import {expect, it} from 'vitest';
import {getOpenWorkers} from '../src/workflows/open-workers.ts';
import {createPolicy} from '../src/workflows/policy.ts';
import {createWorker} from './site-fleet.ts';

const nowMs = 1000;
const terms = {nowMs, policy: createPolicy(), evacuated: []};
const heard = {isAnswering: true, heardAtMs: nowMs};

it('opens a worker whose agent is heard', () => {
	expect(getOpenWorkers([{...createWorker('host'), ...heard}], terms)).toHaveLength(1);
});

it('gives nothing to a worker whose lost agent has registered anew, before its loss is settled: all runs there will be taken for lost', () => {
	const worker = {
		...createWorker('host'), ...heard, session: 2, lostSession: 1, lostAtMs: 0,
	};
	expect(getOpenWorkers([worker], terms)).toEqual([]);
});
