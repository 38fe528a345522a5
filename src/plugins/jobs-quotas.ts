/**
Passes the teams' quotas of the operators' text on to placement.
*/
import {parseSectionName, SectionKind} from '../core/config-text.ts';
import {type Clock} from '../types/clock.ts';
import {type PlacementEngine} from '../types/placement.ts';
import {type ConfigService} from '../types/services.ts';

const everyMs = 500;

/** What quotas are taken from and given to. */
export type QuotaOptions = {
	engine: Pick<PlacementEngine, 'setQuota'>;
	clock: Clock;
	config: Pick<ConfigService, 'getOffset' | 'getSections'>;
	/** Share of all shards that this entry owns. */
	getOwnedShare(): number;
};

/**
Follows the configuration until the signal aborts. Jobs are spread over the shards by their ids, so an entry that owns a
part of the shards gives the same part of each quota: the entries together give the whole.
*/
export const followQuotas = async ({engine, clock, config, getOwnedShare}: QuotaOptions, signal: AbortSignal): Promise<void> => {
	const known = new Set<string>();
	let applied = '';
	while (!signal.aborted) {
		const share = getOwnedShare();
		const version = `${config.getOffset()}/${share}`;
		if (version !== applied) {
			applied = version;
			applyQuotas(engine, config, known, share);
		}

		await clock.sleep(everyMs, signal);
	}
};

const applyQuotas = (engine: Pick<PlacementEngine, 'setQuota'>, config: Pick<ConfigService, 'getSections'>, known: Set<string>, share: number): void => {
	const gone = new Set(known);
	for (const [section, {values}] of config.getSections()) {
		const parsed = parseSectionName(section);
		if (parsed?.kind !== SectionKind.Team || !values) {
			continue;
		}

		gone.delete(parsed.name);
		known.add(parsed.name);
		const amount = (key: string) => Number(values[key] ?? 0) * share;
		engine.setQuota(parsed.name, {
			processors: amount('processors'), memoryMb: amount('memoryMb'), accelerators: amount('accelerators'),
		}, Number(values.weight ?? 1));
	}

	for (const team of gone) {
		known.delete(team);
		engine.setQuota(team, {processors: 0, memoryMb: 0, accelerators: 0}, 1);
	}
};
