/**
Reads and checks settings written in INI.
*/
import {readFileSync} from 'node:fs';
import {parse} from 'ini';
import {getNearest} from '../utils/nearest.ts';
import {createError, ErrorCode, getMessage} from './errors.ts';
import {
	SettingKind, settingsSchema, type Settings, type SettingSpec,
} from './settings-schema.ts';

/** One mistake found in settings. */
export type SettingsMistake = {
	file: string;
	section: string;
	key?: string;
	value?: string;
	allowed: string;
	nearest?: string;
};

type AnySpec = SettingSpec<unknown>;

/** Reads the file, or only defaults without one. Throws a `bad-settings` error that lists all mistakes at once. */
export const loadSettings = (file: string | undefined): Settings => {
	const content = file === undefined ? '' : readSettingsFile(file);
	const {settings, mistakes} = checkSettings(content, file ?? 'defaults');
	if (mistakes.length > 0) {
		throw createError(ErrorCode.BadSettings, {
			step: 'read settings', peer: file, detail: mistakes.map(mistake => formatMistake(mistake)).join('\n'),
		});
	}

	return settings;
};

/** Checks settings in INI text; missing keys get their defaults. */
export const checkSettings = (content: string, file: string): {settings: Settings; mistakes: SettingsMistake[]} => {
	const given = parse(content) as Record<string, unknown>;
	const mistakes = findUnknown(given, file);
	const result: Record<string, Record<string, unknown>> = {};
	for (const [section, keys] of Object.entries(settingsSchema)) {
		const values = (typeof given[section] === 'object' ? given[section] : {}) as Record<string, unknown>;
		result[section] = {};
		for (const [key, spec] of Object.entries(keys as Record<string, AnySpec>)) {
			const raw = values[key];
			const value = raw === undefined ? spec.fallback : convert(raw, spec);
			if (value === undefined) {
				mistakes.push({
					file, section, key, value: String(raw), allowed: describeAllowed(spec),
				});
			}

			result[section][key] = value;
		}
	}

	return {settings: result as unknown as Settings, mistakes};
};

/** Creates settings from defaults with some values replaced: for embedding and tests. */
export const createSettings = (overrides: {[Section in keyof Settings]?: Partial<Settings[Section]>} = {}): Settings => {
	const {settings} = checkSettings('', 'defaults');
	for (const [section, values] of Object.entries(overrides)) {
		Object.assign(settings[section as keyof Settings], values);
	}

	return settings;
};

/** Prints all settings with their defaults as commented INI. */
export const printSettings = (): string => {
	const lines: string[] = [];
	for (const [section, keys] of Object.entries(settingsSchema)) {
		lines.push(`[${section}]`);
		for (const [key, spec] of Object.entries(keys as Record<string, AnySpec>)) {
			lines.push(`; ${spec.doc}`, `; Allowed: ${describeAllowed(spec)}.`, `${key} = ${formatFallback(spec)}`, '');
		}
	}

	return lines.join('\n');
};

/** Prints all settings as a page for operators. */
export const printSettingsPage = (): string => {
	const lines = [
		'# Settings',
		'',
		'Written in INI, read with `--settings FILE`. A mistake is told with file, section, key, value, what is allowed and the',
		'nearest known key; all mistakes at once, and nothing starts. `chervilworks settings` prints a file with all defaults.',
		'This page is made by `chervilworks settings --page`.',
	];
	for (const [section, keys] of Object.entries(settingsSchema)) {
		lines.push('', `## [${section}]`, '', '| key | default | allowed | meaning |', '| --- | --- | --- | --- |');
		for (const [key, spec] of Object.entries(keys as Record<string, AnySpec>)) {
			lines.push(`| \`${key}\` | ${formatFallback(spec) || 'none'} | ${describeAllowed(spec)} | ${spec.doc} |`);
		}
	}

	return `${lines.join('\n')}\n`;
};

const formatFallback = ({fallback}: AnySpec): string => Array.isArray(fallback) ? fallback.join(', ') : String(fallback);

/** Formats a mistake as one line. */
export const formatMistake = (mistake: SettingsMistake): string => {
	const place = mistake.key === undefined ? `[${mistake.section}]` : `[${mistake.section}] ${mistake.key}`;
	const value = mistake.value === undefined ? '' : ` = ${mistake.value}`;
	const nearest = mistake.nearest === undefined ? '' : `; did you mean ${mistake.nearest}?`;
	return `${mistake.file}: ${place}${value}: ${mistake.allowed}${nearest}`;
};

const readSettingsFile = (file: string): string => {
	try {
		return readFileSync(file, 'utf8');
	} catch (error) {
		throw createError(ErrorCode.BadSettings, {
			step: 'read settings', peer: file, detail: getMessage(error), cause: error,
		});
	}
};

const findUnknown = (given: Record<string, unknown>, file: string): SettingsMistake[] => {
	const mistakes: SettingsMistake[] = [];
	const sections = Object.keys(settingsSchema);
	for (const [section, values] of Object.entries(given)) {
		if (typeof values !== 'object' || values === null) {
			mistakes.push({
				file, section: '', key: section, value: String(values), allowed: 'every key stands in a section',
			});
			continue;
		}

		if (!sections.includes(section)) {
			mistakes.push({
				file, section, allowed: 'no such section', nearest: getNearest(section, sections),
			});
			continue;
		}

		const known = Object.keys(settingsSchema[section as keyof Settings]);
		for (const [key, value] of Object.entries(values)) {
			if (!known.includes(key)) {
				mistakes.push({
					file, section, key, value: String(value), allowed: 'no such key', nearest: getNearest(key, known),
				});
			}
		}
	}

	return mistakes;
};

const convert = (raw: unknown, spec: AnySpec): unknown => {
	const value = String(raw).trim();
	switch (spec.kind) {
		case SettingKind.Text: {
			return spec.pattern && !spec.pattern.test(value) ? undefined : value;
		}

		case SettingKind.WholeNumber: {
			return /^-?\d+$/.test(value) && isInRange(Number(value), spec) ? Number(value) : undefined;
		}

		case SettingKind.Fraction: {
			return /^-?\d+(?:\.\d+)?$/.test(value) && isInRange(Number(value), spec) ? Number(value) : undefined;
		}

		case SettingKind.Flag: {
			return value === 'true' ? true : (value === 'false' ? false : undefined);
		}

		case SettingKind.List: {
			return value.split(',').map(item => item.trim()).filter(Boolean);
		}
	}
};

const isInRange = (value: number, spec: AnySpec): boolean =>
	value >= (spec.min ?? Number.NEGATIVE_INFINITY) && value <= (spec.max ?? Number.POSITIVE_INFINITY);

const describeAllowed = (spec: AnySpec): string => {
	switch (spec.kind) {
		case SettingKind.Text: {
			return spec.allowed ?? 'any text';
		}

		case SettingKind.WholeNumber:
		case SettingKind.Fraction: {
			return `a ${spec.kind} from ${spec.min} to ${spec.max}`;
		}

		case SettingKind.Flag: {
			return 'true or false';
		}

		case SettingKind.List: {
			return 'values separated by commas';
		}
	}
};
