import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {type TaskCrash} from '../src/types/workflows.ts';
import {
	addCrash, chooseSuspects, getQuarantineMs, isGivenUp, isSuspect, type AboardTask,
} from '../src/workflows/crash-blame.ts';

const createCrash = (run: number, ageMs: number, isNewest = true): TaskCrash => ({
	run, ageMs, isNewest, host: `host-${run}`, isHostProven: false, atMs: 0,
});

const createAboard = (crash: TaskCrash, earlier: TaskCrash[] = []): AboardTask => ({crash, earlier});

describe('a crash counts', () => {
	it('for all that was young, while nothing there is suspected', () => {
		const young = createAboard(createCrash(1, 20));
		const other = createAboard(createCrash(1, 300, false));
		const old = createAboard(createCrash(1, 60_000, false));
		expect(chooseSuspects([old, other, young])).toEqual([other, young]);
	});

	it('only for the run in quarantine, where there is one', () => {
		const beside = createAboard(createCrash(1, 2000, false));
		const culprit = createAboard(createCrash(2, 20), [createCrash(1, 30, false)]);
		expect(chooseSuspects([beside, culprit])).toEqual([culprit]);
	});

	it('not for a suspect that has outlived its quarantine beside something newer', () => {
		const cleared = createAboard(createCrash(2, 1500, false), [createCrash(1, 30, false)]);
		const culprit = createAboard(createCrash(1, 10));
		expect(chooseSuspects([cleared, culprit])).toContain(culprit);
		expect(isGivenUp([createCrash(1, 30, false), createCrash(2, 1500, false), createCrash(3, 1500, false)])).toBe(false);
	});

	it('for nothing that had been there for long', () => {
		expect(chooseSuspects([createAboard(createCrash(1, 60_000)), createAboard(createCrash(4, 9000))])).toEqual([]);
	});
});

describe('a task is given up', () => {
	it('at its third crash where it crashes each worker soon after its start', () => {
		const crashes = [createCrash(1, 15, false), createCrash(2, 12), createCrash(3, 200)];
		expect(isGivenUp(crashes.slice(0, 2))).toBe(false);
		expect(isGivenUp(crashes)).toBe(true);
	});

	it('before its sixth start where it crashes each worker some seconds after its start', () => {
		const crashes = [1, 2, 3, 4, 5].map(run => createCrash(run, 3000 + (run * 50)));
		expect(isGivenUp(crashes)).toBe(true);
	});

	it('never for crashes beside something newer', () => {
		fc.assert(fc.property(fc.array(fc.integer({min: 0, max: 5000}), {maxLength: 12}), ages => {
			expect(isGivenUp(ages.map((ageMs, run) => createCrash(run, ageMs, false)))).toBe(false);
		}), {seed: 30});
	});

	it('never for crashes of one host, unless others succeed there', () => {
		const crashes = [1, 2, 3, 4, 5, 6].map(run => ({...createCrash(run, 10), host: 'host'}));
		expect(isGivenUp(crashes)).toBe(false);
		expect(isGivenUp(crashes.slice(0, 3).map(crash => ({...crash, isHostProven: true})))).toBe(true);
	});

	it('in whichever order its crashes are heard of', () => {
		const crash = fc.record({
			run: fc.nat(40), ageMs: fc.integer({min: 0, max: 5000}), isNewest: fc.boolean(), host: fc.constantFrom('a', 'b', 'c'), isHostProven: fc.boolean(), atMs: fc.constant(0),
		});
		const crashes = fc.uniqueArray(crash, {selector: ({run}) => run, maxLength: 8});
		fc.assert(fc.property(crashes.chain(list => fc.tuple(fc.constant(list), fc.shuffledSubarray(list, {minLength: list.length}))), ([list, shuffled]) => {
			expect(isGivenUp(shuffled)).toBe(isGivenUp(list));
		}), {seed: 30});
	});
});

it('forgets crashes of long ago', () => {
	const yearly = Array.from({length: 9}, (_, year) => ({...createCrash(year + 1, 10), atMs: year * 31_536_000_000}));
	let crashes: TaskCrash[] = [];
	for (const crash of yearly) {
		crashes = addCrash(crashes, crash);
		expect(isGivenUp(crashes)).toBe(false);
	}

	expect(crashes).toHaveLength(1);
});

it('keeps a suspect apart for longer than its longest run that crashed', () => {
	expect(isSuspect([createCrash(1, 3000), createCrash(2, 4000), createCrash(3, 3500)])).toBe(true);
	expect(getQuarantineMs([createCrash(1, 3000), createCrash(2, 4000)])).toBeGreaterThan(4000);
});
