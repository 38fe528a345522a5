/**
Publishes a change of the operators' text and tells what became of it.
*/
import {
	ConfigRecordType, type ConfigPublish, type ConfigResult, type ConfigSnapshot, type SectionChange, type SectionValues,
} from '../types/config.ts';
import {type Clock} from '../types/clock.ts';
import {Stream, type PlatformLog} from '../types/platform.ts';
import {type Random} from '../types/random.ts';
import {ConfigFold} from './config-fold.ts';
import {parseSectionName, SectionKind} from './config-text.ts';
import {createError, ErrorCode} from './errors.ts';

/** What publishing needs. */
export type PublisherOptions = {
	log: PlatformLog;
	clock: Clock;
	random: Random;
	author: string;
	/** Longest time to learn the verdict. */
	timeoutMs: number;
};

const pauseMs = 200;

/** Reads the stream to its end. Throws `log-unavailable`. */
export const readConfig = async (log: PlatformLog, fold = new ConfigFold()): Promise<ConfigFold> => {
	for (;;) {
		const page = await log.read(Stream.Config, fold.nextOffset);
		fold.noteGap(page.oldestOffset);
		for (const record of page.records) {
			try {
				fold.apply(record);
			} catch {
				// A malformed record of somebody else changes nothing.
			}
		}

		if (page.records.length === 0 || fold.nextOffset >= page.endOffset) {
			return fold;
		}
	}
};

/** Gets the changes that lead from the sections in force to the wanted text. */
export const getChanges = (fold: ConfigFold, wanted: ReadonlyMap<string, SectionValues>): Record<string, SectionChange> => {
	const changes: Record<string, SectionChange> = {};
	for (const [name, values] of wanted) {
		const current = fold.sections.get(name);
		if (!isSame(current?.values, values)) {
			changes[name] = {baseOffset: current?.offset ?? -1, values};
		}
	}

	for (const {name, offset, values} of fold.sections.values()) {
		if (values && !wanted.has(name)) {
			changes[name] = {baseOffset: offset};
		}
	}

	return changes;
};

/** Publishes the changes and waits for their verdict. An append whose answer was lost is sent again under the same id. */
export const publishChanges = async (changes: Record<string, SectionChange>, options: PublisherOptions): Promise<ConfigResult> => {
	const {log, clock, random, author, timeoutMs} = options;
	const publish: ConfigPublish = {
		type: ConfigRecordType.Publish, id: random.id(), author, publishedAt: clock.now().toISOString(), sections: changes,
	};
	const endMs = clock.monotonicMs() + timeoutMs;
	const fold = new ConfigFold();
	let isAppended = false;
	let lastError: unknown;
	while (clock.monotonicMs() < endMs) {
		try {
			// Read first: after a lost answer the change may already stand in the log.
			await readConfig(log, fold);
			const result = fold.getResult(publish.id);
			if (result) {
				return result;
			}

			if (!isAppended) {
				await log.append(Stream.Config, publish);
				isAppended = true;
				continue;
			}
		} catch (error) {
			lastError = error;
		}

		await clock.sleep(pauseMs);
	}

	throw createError(ErrorCode.TimedOut, {step: 'publish config', detail: `change ${publish.id} may or may not be in force`, cause: lastError});
};

const isSame = (a: SectionValues | undefined, b: SectionValues): boolean => {
	const keys = Object.keys(b);
	return a !== undefined && Object.keys(a).length === keys.length && keys.every(key => a[key] === b[key]);
};

/**
Writes the text as a snapshot of everything so far. Readers that have a configuration ignore it; readers that found
earlier records lapsed with no snapshot left start from it. Resolves to its offset; throws `log-unavailable`.
*/
export const publishRestart = async (log: PlatformLog, wanted: ReadonlyMap<string, SectionValues>, id: string): Promise<number> => {
	const {endOffset} = await log.read(Stream.Config, 0, {limit: 1});
	const upToOffset = endOffset - 1;
	const sections = [...wanted].map(([name, values]) => ({name, offset: upToOffset, values}));
	const owners = sections.flatMap(({name, values}) => {
		const parsed = parseSectionName(name);
		const {region} = values;
		return parsed?.kind === SectionKind.Service && region !== undefined ? [{service: parsed.name, region, offset: upToOffset}] : [];
	});
	return log.append(Stream.Config, {
		type: ConfigRecordType.Snapshot, id, upToOffset, sections, owners, results: [],
	} satisfies ConfigSnapshot);
};
