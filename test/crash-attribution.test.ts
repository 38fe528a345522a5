import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {type TaskCrash} from '../src/types/workflows.ts';
import {
	addCrash, chooseSuspects, getQuarantineMs, isCrashLimitReached, isSuspect, type ResidentTask,
} from '../src/workflows/crash-attribution.ts';

const createCrash = (run: number, ageMs: number, isNewest = true): TaskCrash => ({
	run, ageMs, isNewest, host: `host-${run}`, isHostProven: false, atMs: 0,
});

const createResident = (crash: TaskCrash, earlier: TaskCrash[] = []): ResidentTask => ({crash, earlier});

describe('a crash is attributed', () => {
	it('to all recently started runs, while none of them is in quarantine', () => {
		const young = createResident(createCrash(1, 20));
		const other = createResident(createCrash(1, 300, false));
		const old = createResident(createCrash(1, 60_000, false));
		expect(chooseSuspects([old, other, young])).toEqual([other, young]);
	});

	it('only to the run in quarantine, if there is one', () => {
		const beside = createResident(createCrash(1, 2000, false));
		const culprit = createResident(createCrash(2, 20), [createCrash(1, 30, false)]);
		expect(chooseSuspects([beside, culprit])).toEqual([culprit]);
	});

	it('not to a suspect that has outlived its quarantine next to a newer run', () => {
		const cleared = createResident(createCrash(2, 1500, false), [createCrash(1, 30, false)]);
		const culprit = createResident(createCrash(1, 10));
		expect(chooseSuspects([cleared, culprit])).toContain(culprit);
		expect(isCrashLimitReached([createCrash(1, 30, false), createCrash(2, 1500, false), createCrash(3, 1500, false)])).toBe(false);
	});

	it('to no run that started long before', () => {
		expect(chooseSuspects([createResident(createCrash(1, 60_000)), createResident(createCrash(4, 9000))])).toEqual([]);
	});
});

describe('a task reaches the crash limit', () => {
	it('at its third crash if it crashes each worker soon after its start', () => {
		const crashes = [createCrash(1, 15, false), createCrash(2, 12), createCrash(3, 200)];
		expect(isCrashLimitReached(crashes.slice(0, 2))).toBe(false);
		expect(isCrashLimitReached(crashes)).toBe(true);
	});

	it('before its sixth start if it crashes each worker some seconds after its start', () => {
		const crashes = [1, 2, 3, 4, 5].map(run => createCrash(run, 3000 + (run * 50)));
		expect(isCrashLimitReached(crashes)).toBe(true);
	});

	it('never by crashes next to newer runs', () => {
		fc.assert(fc.property(fc.array(fc.integer({min: 0, max: 5000}), {maxLength: 12}), ages => {
			expect(isCrashLimitReached(ages.map((ageMs, run) => createCrash(run, ageMs, false)))).toBe(false);
		}), {seed: 30});
	});

	it('never by crashes on one host, unless other tasks succeed there', () => {
		const crashes = [1, 2, 3, 4, 5, 6].map(run => ({...createCrash(run, 10), host: 'host'}));
		expect(isCrashLimitReached(crashes)).toBe(false);
		expect(isCrashLimitReached(crashes.slice(0, 3).map(crash => ({...crash, isHostProven: true})))).toBe(true);
	});

	it('independently of the order in which its crashes are reported', () => {
		const crash = fc.record({
			run: fc.nat(40), ageMs: fc.integer({min: 0, max: 5000}), isNewest: fc.boolean(), host: fc.constantFrom('a', 'b', 'c'), isHostProven: fc.boolean(), atMs: fc.constant(0),
		});
		const crashes = fc.uniqueArray(crash, {selector: ({run}) => run, maxLength: 8});
		fc.assert(fc.property(crashes.chain(list => fc.tuple(fc.constant(list), fc.shuffledSubarray(list, {minLength: list.length}))), ([list, shuffled]) => {
			expect(isCrashLimitReached(shuffled)).toBe(isCrashLimitReached(list));
		}), {seed: 30});
	});
});

it('drops crashes that are older than the retention', () => {
	const yearly = Array.from({length: 9}, (_, year) => ({...createCrash(year + 1, 10), atMs: year * 31_536_000_000}));
	let crashes: TaskCrash[] = [];
	for (const crash of yearly) {
		crashes = addCrash(crashes, crash);
		expect(isCrashLimitReached(crashes)).toBe(false);
	}

	expect(crashes).toHaveLength(1);
});

it('keeps a suspect in quarantine for longer than its longest run that crashed', () => {
	expect(isSuspect([createCrash(1, 3000), createCrash(2, 4000), createCrash(3, 3500)])).toBe(true);
	expect(getQuarantineMs([createCrash(1, 3000), createCrash(2, 4000)])).toBeGreaterThan(4000);
});
