/**
Reads the settings file that the platform provides for each process.
*/
import {readFileSync} from 'node:fs';
import {parse, type TomlTable} from 'smol-toml';
import {createError, ErrorCode} from '../core/errors.ts';
import {type SiteBounds, type SiteSettings} from '../types/site.ts';

/** Name of the environment variable that holds the path of the settings file. */
export const siteFileVariable = 'CHERVILWORKS_BOOT';

const secondMs = 1000;

/** Reads and decodes the settings. Throws `bad-settings`. */
export const readSiteFile = (path: string | undefined): SiteSettings => {
	if (path === undefined) {
		throw createError(ErrorCode.BadSettings, {step: 'read site settings', detail: `${siteFileVariable} is not set`});
	}

	try {
		return decodeSite(parse(readFileSync(path, 'utf8')));
	} catch (error) {
		throw createError(ErrorCode.BadSettings, {step: 'read site settings', peer: path, cause: error});
	}
};

const getTable = (table: TomlTable, key: string): TomlTable => {
	const value = table[key];
	return typeof value === 'object' && !Array.isArray(value) && !(value instanceof Date) ? value : {};
};

const getText = (table: TomlTable, key: string): string | undefined =>
	typeof table[key] === 'string' && table[key] !== '' ? table[key] : undefined;

const requireText = (table: TomlTable, key: string): string => {
	const text = getText(table, key);
	if (text === undefined) {
		throw createError(ErrorCode.BadSettings, {step: 'read site settings', detail: `${key} is missing`});
	}

	return text;
};

const getNumber = (table: TomlTable, key: string, fallback: number): number =>
	typeof table[key] === 'number' ? table[key] : fallback;

const decodeSite = (file: TomlTable): SiteSettings => {
	const listen = getTable(file, 'listenAddrs');
	const store = getTable(file, 'platform');
	const limits = getTable(file, 'limits');
	const ports = Array.isArray(file.internalPorts) ? file.internalPorts.map(Number) : [];
	return {
		hostName: requireText(file, 'nodeName'),
		ip: requireText(file, 'ip'),
		failureDomain: requireText(file, 'zone'),
		callersAddress: getText(listen, 'frontendAddr'),
		readinessAddress: getText(listen, 'ready'),
		announceAddress: getText(listen, 'control'),
		workerAddress: getText(file, 'app'),
		workerService: getText(file, 'service'),
		internalPorts: [ports[0] ?? 0, ports[1] ?? 0],
		adviceAddress: getText(file, 'advice'),
		processors: getNumber(limits, 'cpuShare', 1) * getNumber(limits, 'cores', 1),
		linkMbps: typeof limits.linkMbps === 'number' && limits.linkMbps > 0 ? limits.linkMbps : undefined,
		store: {
			address: requireText(store, 'address'),
			partitions: getNumber(store, 'parts', 1),
			minMemberTtlMs: getNumber(store, 'minTtlMs', secondMs),
			retentionMs: getNumber(store, 'keep_s', 300) * secondMs,
			maxCallBytes: getNumber(store, 'callBytes', 2_097_152),
		},
		bounds: decodeBounds(getTable(file, 'bounds')),
	};
};

// Each site defines its own bounds; the defaults apply to those that it omits.
const decodeBounds = (bounds: TomlTable): SiteBounds => ({
	configApplyMs: getNumber(bounds, 'configApplyMs', 2000),
	drainMs: getNumber(bounds, 'drainMs', 2000),
	maxLeaseMs: getNumber(bounds, 'maxHoldMs', 6000),
	stopMs: getNumber(bounds, 'stopGraceMs', 400),
	gangTimeoutMs: getNumber(bounds, 'gangTimeoutMs', 3000),
	cancelMs: getNumber(bounds, 'cancel_ms', 3000),
	maxEarlyStartMs: getNumber(bounds, 'early_ms', 250),
	statusRetentionMs: getNumber(bounds, 'status_s', 120) * secondMs,
	remoteSlowdownFactor: getNumber(bounds, 'farFactor', 1.5),
	checkpointIntervalMs: getNumber(bounds, 'checkpointS', 1) * secondMs,
	restoreMs: getNumber(bounds, 'restoreMs', 600),
	throttleDelayMs: getNumber(bounds, 'paceMs', 100),
	maxTargetMissMs: getNumber(bounds, 'harmMs', 4000),
	unavailableAfterMs: getNumber(bounds, 'noticeMs', 4500),
	graceMs: getNumber(bounds, 'graceS', 6) * secondMs,
	hasColdWorkers: 'coldOverage' in bounds || 'coldSlack' in bounds,
	...('evacuateMs' in bounds && {evacuationMs: getNumber(bounds, 'evacuateMs', 0)}),
});
