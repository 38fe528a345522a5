import {expect, test} from 'vitest';
import {loadSettings} from '../src/core/settings.ts';
import {measuredPolicies} from '../src/measure/jobs-policies.ts';
import {runJobs} from '../src/measure/jobs-run.ts';
import {createUsers} from '../src/measure/jobs-users.ts';

const countedMs = 300_000;

test('the same seed gives the same decisions, another seed others', () => {
	const [user] = createUsers();
	for (const policy of measuredPolicies) {
		const first = runJobs(user!, policy, {seed: 3, countedMs});
		expect(runJobs(user!, policy, {seed: 3, countedMs})).toEqual(first);
		expect(runJobs(user!, policy, {seed: 4, countedMs}).digest).not.toBe(first.digest);
	}
});

test('the shipped profiles are those that are measured', () => {
	for (const {name, placement} of createUsers()) {
		expect(loadSettings(`settings/${name}.ini`).placement).toEqual(placement);
	}
});

test('urgent work of both users starts within 3.9 s and no job is reported as unplaceable', () => {
	for (const user of createUsers()) {
		const result = runJobs(user, measuredPolicies.at(-1)!, {seed: 11, countedMs});
		expect(result.urgentStartP99Ms).toBeLessThanOrEqual(3900);
		expect(result.unplaceable).toBe(0);
	}
});
