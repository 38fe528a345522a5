import {describe, expect, test} from 'vitest';
import {Guarantee, GuaranteeChecker} from '../src/measure/guarantee-checker.ts';

const task = {processors: 10, memoryMb: 1, accelerators: 0};

/** Each scenario violates one guarantee; the checker must report that one and no other. */
const scenarios: Array<[Guarantee, (checker: GuaranteeChecker) => void]> = [
	[Guarantee.NoOvercommit, checker => {
		checker.setCapacity('w', {processors: 16, memoryMb: 10, accelerators: 0});
		checker.recordTaskStarted('w', 'a', 0, task);
		checker.recordTaskStarted('w', 'b', 0, task);
	}],
	[Guarantee.SingleWorker, checker => {
		checker.recordTaskStarted('w1', 'a', 0, task);
		checker.recordTaskStarted('w2', 'a', 1, task);
	}],
	[Guarantee.ResumeOnce, checker => {
		checker.recordTaskStarted('w1', 'a', 1, task);
		checker.recordTaskEnded('w1', 'a');
		checker.recordTaskStarted('w2', 'a', 1, task);
	}],
	[Guarantee.CompleteOwnAnswer, checker => {
		checker.recordAnswer('t', false);
	}],
	[Guarantee.NotRunIsCorrect, checker => {
		checker.recordAttemptSent('t');
		checker.recordNotRun('t');
		checker.recordAttemptRun('u', 't', 0);
	}],
	[Guarantee.AtMostOnce, checker => {
		checker.recordAttemptSent('t1', 'id');
		checker.recordAttemptSent('t2', 'id');
		checker.recordAttemptRun('u', 't1', 0);
		checker.recordAttemptRun('u', 't2', 0);
	}],
	[Guarantee.NoWorkWhileLeaving, checker => {
		checker.recordLeaving('u', 0);
		checker.recordAttemptRun('u', 't', 3001);
	}],
	[Guarantee.GracefulShutdown, checker => {
		checker.recordEndAtShutdown('t', true);
	}],
	[Guarantee.ConfigDurable, checker => {
		checker.recordConfigOffset('e', 5);
		checker.recordConfigOffset('e', 4);
	}],
];

describe('guarantee checker', () => {
	test.each(scenarios)('reports a violated guarantee: %s', (guarantee, play) => {
		const checker = new GuaranteeChecker();
		play(checker);
		const violated = Object.entries(checker.getReport()).filter(([, result]) => result.violationCount > 0).map(([name]) => name);
		expect(violated).toEqual([guarantee]);
		expect(checker.hasNoViolation).toBe(false);
	});

	test('has a scenario for every guarantee', () => {
		expect(scenarios.map(([guarantee]) => guarantee)).toEqual(Object.values(Guarantee));
	});

	test('reports no violation in a run that keeps all guarantees', () => {
		const checker = new GuaranteeChecker();
		checker.setCapacity('w1', {processors: 16, memoryMb: 10, accelerators: 0});
		checker.recordTaskStarted('w1', 'a', 0, task);
		checker.recordTaskEnded('w1', 'a');
		checker.recordTaskStarted('w2', 'a', 1, task);
		checker.recordWorkerLost('w2');
		checker.recordTaskStarted('w1', 'a', 2, task);
		checker.recordAttemptSent('t1', 'id');
		checker.recordNotRun('t1');
		checker.recordAttemptSent('t2', 'id');
		checker.recordAttemptRun('u', 't2', 0);
		checker.recordAnswer('t2', true);
		checker.recordLeaving('u', 0);
		checker.recordAttemptRun('u', 't3', 2999);
		checker.recordConfigOffset('e', 4);
		checker.checkConfigApplied('e', 4);
		expect(checker.hasNoViolation).toBe(true);
	});
});
