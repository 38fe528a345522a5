import {describe, expect, test} from 'vitest';
import {Promised, PromiseChecker} from '../src/measure/promise-checker.ts';

const task = {processors: 10, memoryMb: 1, accelerators: 0};

/** Each story breaks one promise; the checker must name that one and no other. */
const stories: Array<[Promised, (checker: PromiseChecker) => void]> = [
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

describe('promise checker', () => {
	test.each(stories)('reports a broken promise: %s', (promised, tell) => {
		const checker = new PromiseChecker();
		tell(checker);
		const broken = Object.entries(checker.getReport()).filter(([, result]) => result.broken > 0).map(([name]) => name);
		expect(broken).toEqual([promised]);
		expect(checker.isHeld).toBe(false);
	});

	test('has a story for every promise', () => {
		expect(stories.map(([promised]) => promised)).toEqual(Object.values(Promised));
	});

	test('finds nothing in a run that keeps all of them', () => {
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
