/**
Publishes changes of the operators' configuration text and waits for their verdict.
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

/** Dependencies and options of publishing. */
export type PublisherOptions = {
	log: PlatformLog;
	clock: Clock;
	random: Random;
	author: string;
	/** Longest wait for the verdict. */
	timeoutMs: number;
};

const retryPauseMs = 200;

/** Folds the configuration stream up to its end. Throws `log-unavailable`. */
export const readConfig = async (log: PlatformLog, fold = new ConfigFold()): Promise<ConfigFold> => {
	for (;;) {
		const page = await log.read(Stream.Config, fold.nextOffset);
		fold.markGap(page.oldestOffset);
		for (const record of page.records) {
			try {
				fold.apply(record);
			} catch {
				// A malformed record does not change the configuration.
			}
		}

		if (page.records.length === 0 || fold.nextOffset >= page.endOffset) {
			return fold;
		}
	}
};

/** Gets the changes that turn the sections in effect into the wanted ones. */
export const getChanges = (fold: ConfigFold, wanted: ReadonlyMap<string, SectionValues>): Record<string, SectionChange> => {
	const changes: Record<string, SectionChange> = {};
	for (const [name, values] of wanted) {
		const current = fold.sections.get(name);
		if (!hasSameValues(current?.values, values)) {
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

/** Publishes the changes and waits for their verdict. An append whose response was lost is repeated under the same id. Throws `timed-out`. */
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
			// Read first: if the response to an append was lost, the change may already be in the log.
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

		await clock.sleep(retryPauseMs);
	}

	throw createError(ErrorCode.TimedOut, {step: 'publish config', detail: `no verdict received; change ${publish.id} may or may not be in effect`, cause: lastError});
};

const hasSameValues = (a: SectionValues | undefined, b: SectionValues): boolean => {
	const keys = Object.keys(b);
	return a !== undefined && Object.keys(a).length === keys.length && keys.every(key => a[key] === b[key]);
};

/**
Appends the wanted sections as a snapshot that covers the whole stream. Readers that have a complete configuration ignore it;
readers whose earlier records have expired without a snapshot start from it. Resolves to its offset; throws `log-unavailable`.
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
