/**
Features of the scheduler on a site: which of them are on. Operators set each to `auto`, `on` or `off` in an INI file; `auto` turns
a feature on where the site's settings call for it.
*/
import {readFileSync} from 'node:fs';
import {parse} from 'ini';
import {type SiteSettings} from '../types/site.ts';
import {getNearest} from '../utils/nearest.ts';
import {createError, ErrorCode} from './errors.ts';

/** One feature; its value is the section of the INI file. */
export enum Feature {
	/** Entries refuse jobs that no worker can hold; owners forecast how long new jobs take. */
	Admission = 'admission',
	/** Entries also refuse jobs that the forecast shows to end when their results are of no use any more; needs `Admission`. */
	LateRefusals = 'late-refusals',
	/** Run times are predicted as distributions: long tails, and the remaining time of a run that is already old. */
	RunTimeTails = 'run-time-tails',
	/** Stops, moves and drains respect how many tasks of a step may be away at a time. */
	DisruptionBudgets = 'disruption-budgets',
	/** Workers that are slow after their start get work by what they can do. */
	ColdWorkers = 'cold-workers',
	/** Long-running tasks are moved out of failure domains that operators evacuate; only operators turn it on. */
	EvacuationMoves = 'evacuation-moves',
	/** An entry that would answer late forwards requests to one with spare capacity. */
	EntryRouting = 'entry-routing',
}

/** Setting of one feature. */
export enum FeatureMode {
	/** On where the site's settings call for it. */
	Auto = 'auto',
	On = 'on',
	Off = 'off',
}

/** Which features are on. */
export type Features = Record<Feature, boolean>;

const key = 'mode';
const names = Object.values(Feature);
const modes = Object.values(FeatureMode);

/** Whether the settings of a site call for a feature; a feature that is not listed depends on jobs and queues alone. */
const isCalledFor: Partial<Record<Feature, (site: SiteSettings) => boolean>> = {
	// Late jobs are ranked after all others anyway, so only an operator turns it on.
	[Feature.LateRefusals]: () => false,
	// It helps beside slow workers, and makes no measurable difference on other loads.
	[Feature.RunTimeTails]: () => false,
	[Feature.ColdWorkers]: ({bounds}) => bounds.hasColdWorkers,
	// What runs in an evacuated domain is not ended there, and a move costs users more than it gives them unless the domain is then taken away.
	[Feature.EvacuationMoves]: () => false,
};

/** Reads the modes of all features; without a file, all are `auto`. Throws a `bad-settings` error that lists all issues. */
export const readFeatureModes = (path: string | undefined): Record<Feature, FeatureMode> =>
	path === undefined ? parseFeatureModes('', 'defaults') : parseFeatureModes(readFile(path), path);

const readFile = (path: string): string => {
	try {
		return readFileSync(path, 'utf8');
	} catch (error) {
		throw createError(ErrorCode.BadSettings, {step: 'read features', peer: path, cause: error});
	}
};

/** Parses the modes. Throws a `bad-settings` error that lists all issues. */
export const parseFeatureModes = (content: string, file: string): Record<Feature, FeatureMode> => {
	const sections = parse(content) as Record<string, unknown>;
	const issues = Object.entries(sections).flatMap(([name, section]) => findIssues(name, section));
	if (issues.length > 0) {
		throw createError(ErrorCode.BadSettings, {step: 'read features', peer: file, detail: issues.join('\n')});
	}

	return Object.fromEntries(names.map(name => [name, (sections[name] as {mode?: FeatureMode} | undefined)?.mode ?? FeatureMode.Auto])) as Record<Feature, FeatureMode>;
};

const findIssues = (name: string, section: unknown): string[] => {
	if (!names.includes(name as Feature)) {
		const nearest = getNearest(name, names);
		return [`[${name}]: no such feature; known are ${names.join(', ')}${nearest === undefined ? '' : `; did you mean ${nearest}?`}`];
	}

	return Object.entries(section as Record<string, unknown>).flatMap(([given, value]) => given === key && modes.includes(value as FeatureMode)
		? []
		: [`[${name}] ${given} = ${String(value)}: allowed is ${key} = ${modes.join(', ')}`]);
};

/** Decides which features are on for a site. */
export const createFeatures = (featureModes: Record<Feature, FeatureMode>, site: SiteSettings): Features =>
	Object.fromEntries(names.map(name => [name, isOn(name, featureModes[name], site)])) as Features;

const isOn = (name: Feature, mode: FeatureMode, site: SiteSettings): boolean =>
	mode === FeatureMode.On || (mode === FeatureMode.Auto && (isCalledFor[name]?.(site) ?? true));

/** Sets all features alike, for embedding and tests. */
export const setAllFeatures = (isEnabled: boolean, exceptions: Partial<Features> = {}): Features => {
	const features = Object.fromEntries(names.map(name => [name, isEnabled])) as Features;
	return {...features, ...exceptions};
};
