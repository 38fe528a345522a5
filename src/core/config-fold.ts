/**
Folds the records of the configuration stream into the current sections. The fold is deterministic: all readers of the same
records compute the same sections and verdicts.
*/
import {createHash} from 'node:crypto';
import {
	ConfigRecordType, ConfigVerdict, type ConfigPublish, type ConfigResult, type ConfigSection, type ConfigSnapshot,
} from '../types/config.ts';
import {type LogRecord} from '../types/platform.ts';
import {parseConfigRecord} from './config-records.ts';
import {findSectionIssues, type SectionView} from './config-text.ts';
import {ServiceOwners} from './service-owners.ts';

/** Verdicts kept, so that publishers of the last minutes can still look up theirs. */
const maxKeptResults = 500;

/** Configuration in effect after all records up to and including `offset`. */
export class ConfigFold {
	#offset = -1;
	// False after a gap in the records read, until a snapshot covers the gap.
	#isComplete = true;
	#gapEnd = 0;
	readonly #sections = new Map<string, ConfigSection>();
	readonly #owners = new ServiceOwners();
	readonly #results = new Map<string, ConfigResult>();
	#lastResult: ConfigResult | undefined;
	// Records read while incomplete. A snapshot may cover the gap but not these; they are folded on top of it.
	readonly #pending: LogRecord[] = [];

	/** Offset of the last record folded. */
	get offset(): number {
		return this.#offset;
	}

	/** Whether every record up to `offset` was folded or is covered by a snapshot. */
	get isComplete(): boolean {
		return this.#isComplete;
	}

	/** Offset to read next. */
	get nextOffset(): number {
		return (this.#pending.at(-1)?.offset ?? this.#offset) + 1;
	}

	/** Region that owns each service. */
	get owners(): Pick<ServiceOwners, 'get' | 'list'> {
		return this.#owners;
	}

	/** All sections, including deleted ones. */
	get sections(): ReadonlyMap<string, ConfigSection> {
		return this.#sections;
	}

	/** Verdicts of the last records, oldest first. */
	getResults(): ConfigResult[] {
		return [...this.#results.values()];
	}

	/** Verdict on the latest change. */
	getLastResult(): ConfigResult | undefined {
		return this.#lastResult;
	}

	/** Verdict on a change by its id. */
	getResult(id: string): ConfigResult | undefined {
		return this.#results.get(id);
	}

	/** Folds the next record. Throws `bad-input` if it is malformed; the record then counts as read. */
	apply(record: LogRecord): void {
		if (record.offset < this.nextOffset) {
			return;
		}

		if (this.#isComplete) {
			this.#offset = record.offset;
			this.#fold(record);
			return;
		}

		this.#pending.push(record);
		const parsed = parseConfigRecord(record);
		if (parsed.type === ConfigRecordType.Snapshot) {
			this.restore(parsed);
		}
	}

	/** Marks the fold as incomplete if records that were not yet read, those before `oldestOffset`, have expired from the log. */
	markGap(oldestOffset: number): void {
		if (oldestOffset > this.nextOffset) {
			this.#isComplete = false;
			this.#gapEnd = oldestOffset;
		}
	}

	/**
	Replaces the state by a snapshot, from the log or from a peer, if the snapshot is newer and leaves no gap; returns whether it did.
	A writer that was paused may append a snapshot that is older than records already read: pending records are folded on top of
	it, and a complete fold never returns to an older state.
	*/
	restore(snapshot: ConfigSnapshot): boolean {
		const isUsable = snapshot.upToOffset > this.#offset && (this.#isComplete || snapshot.upToOffset >= this.#gapEnd - 1);
		if (!isUsable) {
			return false;
		}

		this.#sections.clear();
		for (const section of snapshot.sections) {
			this.#sections.set(section.name, section);
		}

		this.#owners.restore(snapshot.owners);
		this.#results.clear();
		for (const result of snapshot.results) {
			this.#results.set(result.id, result);
		}

		this.#offset = snapshot.upToOffset;
		this.#isComplete = true;
		for (const record of this.#pending.splice(0)) {
			if (record.offset > this.#offset) {
				this.#offset = record.offset;
				this.#foldIgnoringErrors(record);
			}
		}

		return true;
	}

	/** Creates a snapshot of the state. */
	createSnapshot(id: string): ConfigSnapshot {
		return {
			type: ConfigRecordType.Snapshot,
			id,
			upToOffset: this.#offset,
			sections: [...this.#sections.values()],
			owners: this.#owners.list(),
			results: this.getResults(),
		};
	}

	/** Digest of sections and owners, to compare the configuration in effect at two readers. */
	getDigest(): string {
		const hash = createHash('sha256');
		for (const name of [...this.#sections.keys()].toSorted(compareText)) {
			const section = this.#sections.get(name)!;
			hash.update(JSON.stringify([name, section.offset, Object.entries(section.values ?? {}).toSorted(([a], [b]) => compareText(a, b)), section.values === undefined]));
		}

		for (const {service, region, offset} of this.#owners.list().toSorted((a, b) => compareText(a.service, b.service))) {
			hash.update(JSON.stringify([service, region, offset]));
		}

		return hash.digest('hex').slice(0, 32);
	}

	#foldIgnoringErrors(record: LogRecord): void {
		try {
			this.#fold(record);
		} catch {
			// `apply` already threw the error when the record was first read.
		}
	}

	#fold(record: LogRecord): void {
		const parsed = parseConfigRecord(record);
		if (parsed.type === ConfigRecordType.Publish && !this.#results.has(parsed.id)) {
			this.#applyPublish(parsed, record.offset);
		} else if (parsed.type === ConfigRecordType.Move) {
			this.#owners.applyMove(parsed, record.offset, this.#sections);
		}

		// A complete fold already contains what a snapshot holds.
	}

	#applyPublish(publish: ConfigPublish, offset: number): void {
		const result: ConfigResult = {
			id: publish.id, author: publish.author, offset, verdict: ConfigVerdict.Accepted, sections: Object.keys(publish.sections),
		};
		const stale = result.sections.find(name => (this.#sections.get(name)?.offset ?? -1) !== publish.sections[name]!.baseOffset);
		if (stale === undefined) {
			const issues = findSectionIssues(this.#getView(publish), result.sections);
			if (issues.length > 0) {
				result.verdict = ConfigVerdict.Invalid;
				result.reason = issues.join('; ');
			}
		} else {
			this.#setConflict(result, stale, publish.sections[stale]!.baseOffset);
		}

		if (result.verdict === ConfigVerdict.Accepted) {
			for (const [name, {values}] of Object.entries(publish.sections)) {
				this.#sections.set(name, {name, offset, values});
				this.#owners.applySectionChange(name, values, offset);
			}
		}

		this.#results.set(publish.id, result);
		this.#lastResult = result;
		if (this.#results.size > maxKeptResults) {
			this.#results.delete(this.#results.keys().next().value!);
		}
	}

	#setConflict(result: ConfigResult, name: string, baseOffset: number): void {
		const current = this.#sections.get(name)?.offset ?? -1;
		const winner = this.getResults().find(({offset}) => offset === current);
		result.verdict = ConfigVerdict.Conflict;
		result.reason = `[${name}] was changed at offset ${current}; this change is based on ${baseOffset}`;
		result.winnerId = winner?.id;
		result.winnerAuthor = winner?.author;
	}

	#getView(publish: ConfigPublish): SectionView {
		const changes = new Map(Object.entries(publish.sections));
		const get = (section: string) => (changes.get(section) ?? this.#sections.get(section))?.values;
		return {
			get,
			size: this.#sections.size + changes.size,
			keys: () => new Set([...this.#sections.keys(), ...changes.keys()].filter(section => get(section) !== undefined)),
		};
	}
}

/** Compares by code unit, so that the order does not depend on a machine's locale. */
const compareText = (a: string, b: string): number => a < b ? -1 : (a > b ? 1 : 0);
