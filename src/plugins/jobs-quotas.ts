/**
Applies the quotas of teams from the operators' configuration to the placement engine.
*/
import {parseSectionName, SectionKind} from '../core/config-text.ts';
import {type Clock} from '../types/clock.ts';
import {type PlacementEngine} from '../types/placement.ts';
import {type ConfigService} from '../types/services.ts';

const checkIntervalMs = 500;

/** Options of the quota follower. */
export type QuotaFollowerOptions = {
	engine: Pick<PlacementEngine, 'setQuota'>;
	clock: Clock;
	config: Pick<ConfigService, 'getOffset' | 'getSections'>;
	/** Fraction of all shards that this entry owns. */
	getOwnedShare(): number;
};

/**
Follows the configuration until the signal aborts. Jobs are distributed over the shards by their ids, so each entry applies the
same fraction of a quota as it owns of the shards; the entries together apply the full quota.
*/
export const followQuotas = async ({engine, clock, config, getOwnedShare}: QuotaFollowerOptions, signal: AbortSignal): Promise<void> => {
	const knownTeams = new Set<string>();
	let applied = '';
	while (!signal.aborted) {
		const share = getOwnedShare();
		const version = `${config.getOffset()}/${share}`;
		if (version !== applied) {
			applied = version;
			applyQuotas(engine, config, knownTeams, share);
		}

		await clock.sleep(checkIntervalMs, signal);
	}
};

const applyQuotas = (engine: Pick<PlacementEngine, 'setQuota'>, config: Pick<ConfigService, 'getSections'>, knownTeams: Set<string>, share: number): void => {
	const removedTeams = new Set(knownTeams);
	for (const [section, {values}] of config.getSections()) {
		const parsed = parseSectionName(section);
		if (parsed?.kind !== SectionKind.Team || !values) {
			continue;
		}

		removedTeams.delete(parsed.name);
		knownTeams.add(parsed.name);
		const amount = (key: string) => Number(values[key] ?? 0) * share;
		engine.setQuota(parsed.name, {
			processors: amount('processors'), memoryMb: amount('memoryMb'), accelerators: amount('accelerators'),
		}, Number(values.weight ?? 1));
	}

	for (const team of removedTeams) {
		knownTeams.delete(team);
		engine.setQuota(team, {processors: 0, memoryMb: 0, accelerators: 0}, 1);
	}
};
