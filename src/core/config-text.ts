/**
Configuration text of the operators: INI with a section for each service (`[service NAME]`) and each team (`[team NAME]`).
*/
import {parse, stringify} from 'ini';
import {type ConfigSection, type SectionValues} from '../types/config.ts';
import {getNearest} from '../utils/nearest.ts';

/** Kinds of sections. */
export enum SectionKind {
	Service = 'service',
	Team = 'team',
}

type KeySpec = {
	allowed: string;
	isValid(value: string): boolean;
};

const wholeNumber = (min: number, max: number): KeySpec => ({
	allowed: `a whole number from ${min} to ${max}`,
	isValid: value => /^\d+$/.test(value) && Number(value) >= min && Number(value) <= max,
});
const names: KeySpec = {
	allowed: 'names separated by commas',
	isValid: value => splitList(value).every(item => namePattern.test(item)),
};
const oneName: KeySpec = {allowed: 'one name', isValid: value => namePattern.test(value)};
const oneOf = (...choices: string[]): KeySpec => ({
	allowed: choices.join(' or '), isValid: value => choices.includes(value),
});
const weights: KeySpec = {
	allowed: 'pairs name:weight separated by commas',
	isValid: value => splitList(value).every(item => /^[\w-]+:\d+(?:\.\d+)?$/.test(item)),
};

const namePattern = /^[\w-]{1,64}$/;
const maxSections = 10_000;
const maxDeadlineMs = 3_600_000;
const maxAmount = 10_000_000;

const keysByKind: Record<SectionKind, Record<string, KeySpec>> = {
	[SectionKind.Service]: {
		region: oneName,
		dependsOn: names,
		requestClass: oneOf('check', 'long'),
		checkDeadlineMs: wholeNumber(1, maxDeadlineMs),
		longDeadlineMs: wholeNumber(1, maxDeadlineMs),
		failureDomainWeights: weights,
	},
	[SectionKind.Team]: {
		processors: wholeNumber(0, maxAmount),
		memoryMb: wholeNumber(0, maxAmount * 1000),
		accelerators: wholeNumber(0, maxAmount),
		weight: wholeNumber(1, 1000),
	},
};

/** Splits a comma-separated list into trimmed items. */
export const splitList = (value: string | undefined): string[] =>
	(value ?? '').split(',').map(item => item.trim()).filter(Boolean);

/** Parses the operators' text into sections. Each message in `issues` names its section and key. */
export const parseConfigText = (content: string): {sections: Map<string, SectionValues>; issues: string[]} => {
	const sections = new Map<string, SectionValues>();
	const issues: string[] = [];
	for (const [name, values] of Object.entries(parse(content))) {
		if (typeof values !== 'object' || values === null) {
			issues.push(`${name}: a key must be in a section`);
			continue;
		}

		const plain: SectionValues = {};
		for (const [key, value] of Object.entries(values as Record<string, unknown>)) {
			plain[key] = String(value);
		}

		sections.set(name, plain);
	}

	issues.push(...findSectionIssues(sections));
	return {sections, issues};
};

/** Prints sections as the operators' text. */
export const printConfigText = (sections: Iterable<ConfigSection>): string => {
	const document: Record<string, SectionValues> = {};
	for (const {name, values} of sections) {
		if (values) {
			document[name] = values;
		}
	}

	return stringify(document, {whitespace: true});
};

/** Gets the name of the section of a service. */
export const getServiceSection = (service: string): string => `${SectionKind.Service} ${service}`;

/** Splits a section's name into its kind and the service's or team's name; undefined if it is malformed. */
export const parseSectionName = (section: string): {kind: SectionKind; name: string} | undefined => {
	const [kind, name, ...rest] = section.split(' ');
	const isKnown = Object.values(SectionKind).includes(kind as SectionKind);
	return isKnown && name !== undefined && rest.length === 0 && namePattern.test(name)
		? {kind: kind as SectionKind, name}
		: undefined;
};

/** Read-only view of the sections as they would be after a change. */
export type SectionView = {
	size: number;
	get(section: string): SectionValues | undefined;
	keys(): Iterable<string>;
};

/**
Validates the changed sections of a view that was valid before the change; without `changed`, validates all sections. The cost
grows with the number of changed sections, not of all sections, except for a deletion.
*/
export const findSectionIssues = (view: SectionView, changed: Iterable<string> = view.keys()): string[] => {
	const issues: string[] = [];
	if (view.size > maxSections) {
		issues.push(`at most ${maxSections} sections are allowed`);
	}

	for (const section of changed) {
		const values = view.get(section);
		if (!values) {
			issues.push(...findDependents(section, view));
			continue;
		}

		const parsed = parseSectionName(section);
		if (parsed) {
			issues.push(...findKeyIssues(section, parsed.kind, values), ...findDependencyIssues(section, view));
		} else {
			issues.push(`[${section}]: a section is named "service NAME" or "team NAME"`);
		}
	}

	return issues;
};

const findDependents = (deleted: string, view: SectionView): string[] => [...view.keys()]
	.filter(section => getDependencySections(section, view).includes(deleted))
	.map(section => `[${section}] dependsOn: [${deleted}] is still needed`);

const getDependencySections = (section: string, view: SectionView): string[] =>
	splitList(view.get(section)?.dependsOn).map(dependency => getServiceSection(dependency));

const findKeyIssues = (section: string, kind: SectionKind, values: SectionValues): string[] => {
	const issues: string[] = [];
	const specs = keysByKind[kind];
	for (const [key, value] of Object.entries(values)) {
		if (!Object.hasOwn(specs, key)) {
			const nearest = getNearest(key, Object.keys(specs));
			issues.push(`[${section}] ${key}: no such key${nearest === undefined ? '' : `; did you mean ${nearest}?`}`);
		} else if (!specs[key]!.isValid(value)) {
			issues.push(`[${section}] ${key} = ${value}: ${specs[key]!.allowed}`);
		}
	}

	return issues;
};

const findDependencyIssues = (section: string, view: SectionView): string[] => {
	const missing = getDependencySections(section, view).filter(dependency => !view.get(dependency));
	if (missing.length > 0) {
		return missing.map(dependency => `[${section}] dependsOn: there is no [${dependency}]`);
	}

	const seen = new Set<string>();
	const reaches = (from: string): boolean => getDependencySections(from, view).some(dependency => {
		if (dependency === section) {
			return true;
		}

		const isNew = !seen.has(dependency);
		seen.add(dependency);
		return isNew && reaches(dependency);
	});
	return reaches(section) ? [`[${section}] dependsOn: services depend on each other in a circle`] : [];
};
