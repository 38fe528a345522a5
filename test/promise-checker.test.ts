import {describe, expect, test} from 'vitest';
import {Promised, PromiseChecker} from '../src/measure/promise-checker.ts';

const task = {processors: 10, memoryMb: 1, accelerators: 0};

/** Each scenario violates one guarantee; the checker must report that one and no other. */
const scenarios: Array<[Promised, (checker: PromiseChecker) => void]> = [
	[Promised.NoOvercommit, checker => {
		checker.setCapacity('w', {processors: 16, memoryMb: 10, accelerators: 0});
		checker.noteTaskStarted('w', 'a', 0, task);
		checker.noteTaskStarted('w', 'b', 0, task);
	}],
	[Promised.OnePlace, checker => {
		checker.noteTaskStarted('w1', 'a', 0, task);
		checker.noteTaskStarted('w2', 'a', 1, task);
	}],
	[Promised.ResumeOnce, checker => {
		checker.noteTaskStarted('w1', 'a', 1, task);
		checker.noteTaskEnded('w1', 'a');
		checker.noteTaskStarted('w2', 'a', 1, task);
	}],
	[Promised.OwnAnswer, checker => {
		checker.noteAnswer('t', false);
	}],
	[Promised.NotRunTrue, checker => {
		checker.noteTry('t');
		checker.noteNotRun('t');
		checker.noteRan('u', 't', 0);
	}],
	[Promised.AtMostOnce, checker => {
		checker.noteTry('t1', 'id');
		checker.noteTry('t2', 'id');
		checker.noteRan('u', 't1', 0);
		checker.noteRan('u', 't2', 0);
	}],
	[Promised.LeavingQuiet, checker => {
		checker.noteLeaving('u', 0);
		checker.noteRan('u', 't', 3001);
	}],
	[Promised.ShutdownWhole, checker => {
		checker.noteEndAtShutdown('t', true);
	}],
	[Promised.ConfigHolds, checker => {
		checker.noteConfig('e', 5);
		checker.noteConfig('e', 4);
	}],
];

describe('guarantee checker', () => {
	test.each(scenarios)('reports a violated guarantee: %s', (guarantee, play) => {
		const checker = new PromiseChecker();
		play(checker);
		const violated = Object.entries(checker.getReport()).filter(([, result]) => result.broken > 0).map(([name]) => name);
		expect(violated).toEqual([guarantee]);
		expect(checker.isHeld).toBe(false);
	});

	test('has a scenario for every guarantee', () => {
		expect(scenarios.map(([guarantee]) => guarantee)).toEqual(Object.values(Promised));
	});

	test('reports no violation in a run that keeps all guarantees', () => {
		const checker = new PromiseChecker();
		checker.setCapacity('w1', {processors: 16, memoryMb: 10, accelerators: 0});
		checker.noteTaskStarted('w1', 'a', 0, task);
		checker.noteTaskEnded('w1', 'a');
		checker.noteTaskStarted('w2', 'a', 1, task);
		checker.noteWorkerGone('w2');
		checker.noteTaskStarted('w1', 'a', 2, task);
		checker.noteTry('t1', 'id');
		checker.noteNotRun('t1');
		checker.noteTry('t2', 'id');
		checker.noteRan('u', 't2', 0);
		checker.noteAnswer('t2', true);
		checker.noteLeaving('u', 0);
		checker.noteRan('u', 't3', 2999);
		checker.noteConfig('e', 4);
		checker.noteConfigDue('e', 4);
		expect(checker.isHeld).toBe(true);
	});
});
