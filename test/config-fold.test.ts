import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {ConfigFold} from '../src/core/config-fold.ts';
import {publishChanges, readConfig, getChanges} from '../src/core/config-publisher.ts';
import {parseConfigText} from '../src/core/config-text.ts';
import {MemoryLog} from '../src/standin/memory-log.ts';
import {
	ConfigRecordType, ConfigVerdict, type ConfigMove, type ConfigPublish, type SectionChange,
} from '../src/types/config.ts';
import {Stream, type LogRecord} from '../src/types/platform.ts';
import {ManualClock} from '../src/utils/manual-clock.ts';
import {createRandom} from '../src/utils/seeded-random.ts';

const createPublish = (id: string, sections: Record<string, SectionChange>): ConfigPublish => ({
	type: ConfigRecordType.Publish, id, author: `author of ${id}`, publishedAt: '2026-01-01T00:00:00Z', sections,
});
const createMove = (id: string, service: string, region: string, baseOffset: number): ConfigMove => ({
	type: ConfigRecordType.Move, id, service, region, baseOffset, entryId: 'entry-1',
});
const toRecords = (values: unknown[]): LogRecord[] => values.map((value, offset) => ({offset, value}));
const foldAll = (records: LogRecord[]): ConfigFold => {
	const fold = new ConfigFold();
	for (const record of records) {
		fold.apply(record);
	}

	return fold;
};

const desk = 'service lading-desk';

describe('concurrent changes', () => {
	// Two operators read the same configuration and both publish a change of one section.
	// The order in the log decides: the first change is accepted by all readers, and the verdict on the second names the first.
	test('the first of two conflicting changes is accepted and the verdict on the second names it', () => {
		const fold = foldAll(toRecords([
			createPublish('first', {[desk]: {baseOffset: -1, values: {region: 'scot-central'}}}),
			createPublish('second', {[desk]: {baseOffset: -1, values: {region: 'bagmati'}}}),
		]));
		expect(fold.sections.get(desk)?.values).toEqual({region: 'scot-central'});
		expect(fold.getResult('second')).toMatchObject({verdict: ConfigVerdict.Conflict, winnerId: 'first', winnerAuthor: 'author of first'});
	});

	test('edits of different sections on the same base are both accepted', () => {
		const fold = foldAll(toRecords([
			createPublish('a', {[desk]: {baseOffset: -1, values: {}}}),
			createPublish('b', {'team clydeside': {baseOffset: -1, values: {processors: '100'}}}),
		]));
		expect(fold.getResults().map(({verdict}) => verdict)).toEqual([ConfigVerdict.Accepted, ConfigVerdict.Accepted]);
	});

	test('a change of several sections is accepted or rejected as a whole', () => {
		const fold = foldAll(toRecords([
			createPublish('a', {[desk]: {baseOffset: -1, values: {}}}),
			createPublish('b', {'team authority': {baseOffset: -1, values: {}}, [desk]: {baseOffset: -1, values: {region: 'bagmati'}}}),
		]));
		expect(fold.sections.has('team authority')).toBe(false);
	});
});

describe('invalid configuration', () => {
	test.each([
		['a circular dependency', {'service a': {dependsOn: 'b'}, 'service b': {dependsOn: 'a'}}, /circle/],
		['a missing dependency', {'service a': {dependsOn: 'b'}}, /there is no/],
		['a misspelt key', {'service a': {regoin: 'x'}}, /did you mean region/],
		['an unknown kind of section', {nonsense: {}}, /is named/],
	])('%s is rejected by every reader', (_name, document, reason) => {
		const sections = Object.fromEntries(Object.entries(document).map(([name, values]) => [name, {baseOffset: -1, values}]));
		const fold = foldAll(toRecords([createPublish('a', sections)]));
		expect(fold.getResult('a')).toMatchObject({verdict: ConfigVerdict.Invalid, reason: expect.stringMatching(reason) as string});
		expect(fold.sections.size).toBe(0);
	});

	test('a service that others depend on cannot be deleted', () => {
		const fold = foldAll(toRecords([
			createPublish('a', {'service a': {baseOffset: -1, values: {dependsOn: 'b'}}, 'service b': {baseOffset: -1, values: {}}}),
			createPublish('b', {'service b': {baseOffset: 0}}),
		]));
		expect(fold.getResult('b')?.reason).toContain('still needed');
	});

	test('a malformed record changes nothing and does not stop the reader', () => {
		const fold = new ConfigFold();
		expect(() => {
			fold.apply({offset: 0, value: {type: 'publish', sections: 7}});
		}).toThrow(/offset 0/);
		fold.apply({offset: 1, value: createPublish('a', {[desk]: {baseOffset: -1, values: {}}})});
		expect(fold.sections.has(desk)).toBe(true);
	});
});

describe('snapshots', () => {
	// An entry creates a snapshot, is paused, and appends it after later changes are in the log. A reader that starts after the
	// early records have expired must not take the state of the snapshot for the current one.
	test('a snapshot of a paused writer does not undo later records', () => {
		const early = toRecords([createPublish('a', {[desk]: {baseOffset: -1, values: {region: 'scot-central'}}})]);
		const snapshot = foldAll(early).createSnapshot('s');
		const later = [...early, {offset: 1, value: createPublish('b', {[desk]: {baseOffset: 0, values: {region: 'bagmati'}}})}, {offset: 2, value: snapshot}];
		const full = foldAll(later);
		expect(full.sections.get(desk)?.values).toEqual({region: 'bagmati'});

		const lateReader = new ConfigFold();
		lateReader.markGap(1);
		lateReader.apply(later[1]!);
		expect(lateReader.isComplete).toBe(false);
		lateReader.apply(later[2]!);
		expect(lateReader.isComplete).toBe(true);
		expect(lateReader.getDigest()).toBe(full.getDigest());
	});

	test('a snapshot that does not cover the expired records is not applied', () => {
		const snapshot = foldAll(toRecords([createPublish('a', {[desk]: {baseOffset: -1, values: {}}})])).createSnapshot('s');
		const lateReader = new ConfigFold();
		lateReader.markGap(2);
		lateReader.apply({offset: 2, value: snapshot});
		expect(lateReader.isComplete).toBe(false);
		expect(lateReader.sections.size).toBe(0);
	});
});

describe('moves between regions', () => {
	const text = (region: string) => ({region});

	// The operators declare another region; the former region serves until the new one has taken over.
	test('the owner changes with the move record, not with the declared region', () => {
		const records = toRecords([
			createPublish('a', {[desk]: {baseOffset: -1, values: text('scot-central')}}),
			createPublish('b', {[desk]: {baseOffset: 0, values: text('bagmati')}}),
			createMove('m', 'lading-desk', 'bagmati', 0),
		]);
		expect(foldAll(records.slice(0, 2)).owners.get('lading-desk')?.region).toBe('scot-central');
		expect(foldAll(records).owners.get('lading-desk')).toEqual({
			service: 'lading-desk', region: 'bagmati', previousRegion: 'scot-central', offset: 2,
		});
	});

	// An entry decides to move a service and is paused; meanwhile the operators revert the declared region.
	// The move record is appended last and must not take effect.
	test('a late move after a revert is not applied', () => {
		const fold = foldAll(toRecords([
			createPublish('a', {[desk]: {baseOffset: -1, values: text('scot-central')}}),
			createPublish('b', {[desk]: {baseOffset: 0, values: text('bagmati')}}),
			createPublish('c', {[desk]: {baseOffset: 1, values: text('scot-central')}}),
			createMove('m', 'lading-desk', 'bagmati', 0),
		]));
		expect(fold.owners.get('lading-desk')?.region).toBe('scot-central');
	});

	test('a service moves only after its dependencies', () => {
		const values = (region: string) => ({'service a': {dependsOn: 'b', region}, 'service b': {region}});
		const at = (offset: number, region: string) => Object.fromEntries(Object.entries(values(region)).map(([name, section]) => [name, {baseOffset: offset, values: section}]));
		const records = toRecords([
			createPublish('p', at(-1, 'x')),
			createPublish('q', at(0, 'y')),
			createMove('m1', 'a', 'y', 0),
			createMove('m2', 'b', 'y', 0),
			createMove('m3', 'a', 'y', 0),
		]);
		expect(foldAll(records.slice(0, 3)).owners.get('a')?.region).toBe('x');
		expect(foldAll(records).owners.get('a')).toMatchObject({region: 'y', offset: 4});
	});
});

describe('publishing', () => {
	const setUpLog = (seed: number) => {
		const clock = new ManualClock();
		const random = createRandom(seed);
		return {clock, random, log: new MemoryLog(clock, random)};
	};

	// The log stores the change but its response is lost; the command must neither append it again nor report a failure.
	test('a change whose response was lost is recognised and not appended twice', async () => {
		const {clock, random, log} = setUpLog(1);
		log.faults.loseAnswerChance = 1;
		const {sections} = parseConfigText('[service lading-desk]\nregion = scot-central\n');
		const publishing = publishChanges(getChanges(new ConfigFold(), sections), {
			log, clock, random, author: 'ann', timeoutMs: 5000,
		});
		await clock.advance(5000);
		expect(await publishing).toMatchObject({verdict: ConfigVerdict.Accepted});
		expect(log.appends).toBe(1);
	});

	test('a reader that starts after records expired restores the same state from a snapshot', async () => {
		const {log} = setUpLog(2);
		await log.append(Stream.Config, createPublish('a', {[desk]: {baseOffset: -1, values: {}}}));
		const full = await readConfig(log);
		await log.append(Stream.Config, full.createSnapshot('s'));
		log.truncate(Stream.Config, 1);
		const lateReader = await readConfig(log);
		expect(lateReader.isComplete).toBe(true);
		expect(lateReader.sections.has(desk)).toBe(true);
	});
});

describe('any interleaving', () => {
	const names = ['service a', 'service b', 'service c', 'team t'];
	const regions = ['x', 'y'];
	const step = fc.oneof(
		fc.record({
			kind: fc.constant('publish' as const), section: fc.constantFrom(...names), staleBy: fc.nat(2), region: fc.constantFrom(...regions), isDelete: fc.boolean(),
		}),
		fc.record({
			kind: fc.constant('move' as const), service: fc.constantFrom('a', 'b', 'c'), region: fc.constantFrom(...regions), staleBy: fc.nat(1),
		}),
		fc.record({kind: fc.constant('snapshot' as const), age: fc.nat(5)}),
		fc.record({kind: fc.constant('garbage' as const)}),
		fc.record({kind: fc.constant('repeat' as const), back: fc.nat(6)}),
	);

	// Operators publish concurrently, entries append snapshots late, records repeat, and readers start at any time after early
	// records have expired. Every reader that is complete at the end of the stream must have the same state, and its offset must
	// never decrease.
	test('all readers converge, whenever they start and however many records have expired', () => {
		fc.assert(fc.property(fc.array(step, {maxLength: 40}), fc.nat(40), fc.nat(40), (steps, truncateAt, restoreAt) => {
			const records: LogRecord[] = [];
			const history: ConfigFold[] = [new ConfigFold()];
			const append = (value: unknown) => {
				records.push({offset: records.length, value});
				history.push(foldIgnoringErrors(records));
			};

			for (const [index, item] of steps.entries()) {
				const fold = history.at(-1)!;
				switch (item.kind) {
					case 'publish': {
						const base = history.at(-1 - Math.min(item.staleBy, history.length - 1))!;
						const values: Record<string, string> = item.section.startsWith('team') ? {} : {region: item.region};
						append(createPublish(`p${index}`, {
							[item.section]: {
								baseOffset: base.sections.get(item.section)?.offset ?? -1, values: item.isDelete ? undefined : values,
							},
						}));

						break;
					}

					case 'move': {
						append(createMove(`m${index}`, item.service, item.region, (fold.owners.get(item.service)?.offset ?? -1) - item.staleBy));

						break;
					}

					case 'snapshot': {
						append(history.at(-1 - Math.min(item.age, history.length - 1))!.createSnapshot(`s${index}`));

						break;
					}

					case 'garbage': {
						append({type: 'nonsense'});

						break;
					}

					case 'repeat': {
						append(records.at(-1 - item.back)?.value);

						break;
					}
				}
			}

			const full = history.at(-1)!;
			const lateReader = new ConfigFold();
			const oldest = Math.min(truncateAt, records.length);
			lateReader.markGap(oldest);
			let lastOffset = -1;
			for (const record of records.slice(oldest)) {
				applyIgnoringErrors(lateReader, record);
				expect(lateReader.offset).toBeGreaterThanOrEqual(lastOffset);
				lastOffset = lateReader.offset;
			}

			if (lateReader.isComplete) {
				expect(lateReader.getDigest()).toBe(full.getDigest());
				expect(lateReader.getResults()).toEqual(full.getResults());
			}

			// A peer's snapshot of any age never returns a complete fold to an older state.
			const peer = history[Math.min(restoreAt, history.length - 1)]!;
			full.restore(peer.createSnapshot('peer'));
			expect(full.offset).toBe(records.length - 1);
			lateReader.restore(full.createSnapshot('peer'));
			expect(lateReader.getDigest()).toBe(full.getDigest());
		}), {numRuns: 400, seed: 7});
	});
});

const applyIgnoringErrors = (fold: ConfigFold, record: LogRecord): void => {
	try {
		fold.apply(record);
	} catch {
		// Malformed on purpose.
	}
};

const foldIgnoringErrors = (records: LogRecord[]): ConfigFold => {
	const fold = new ConfigFold();
	for (const record of records) {
		applyIgnoringErrors(fold, record);
	}

	return fold;
};
