/**
Decodes what operators declare for the site.
*/
import {createError, ErrorCode} from '../core/errors.ts';
import {type QueueConfig, type SiteConfig} from '../types/site.ts';

/** Topic and key under which operators keep the configuration. */
export const operatorTopic = 'keyed.op';
/** Key of the configuration in the operators' topic. */
export const configKey = 'config';

type WireRoute = {
	name?: string; host?: string; pathPrefix?: string; service?: string; priority?: number; maxAttempts?: number; stretch?: number;
	targetLatencyMs?: number; timeoutMs?: number; advice?: {decisionMs?: number; periodMs?: number; validityMs?: number};
};

type WireConfig = {
	version?: number;
	routes?: WireRoute[];
	services?: Array<{name: string; enforcesCapacity?: boolean; spare?: boolean}>;
	limits?: {maxHeaderBytes?: number; maxBodyBytes?: number; headerTimeoutMs?: number; idleTimeoutMs?: number};
};

/** Decodes the configuration. Throws `bad-input`. */
export const decodeSiteConfig = (text: string): SiteConfig => {
	let config: WireConfig;
	try {
		config = JSON.parse(text) as WireConfig;
	} catch (error) {
		throw createError(ErrorCode.BadInput, {step: 'read configuration', cause: error});
	}

	if (typeof config.version !== 'number') {
		throw createError(ErrorCode.BadInput, {step: 'read configuration', detail: 'no version'});
	}

	const {limits} = config;
	return {
		version: config.version,
		queues: (config.routes ?? []).map(route => decodeQueue(route)),
		services: (config.services ?? []).map(({name, enforcesCapacity, spare}) => ({
			name, guardsCapacity: enforcesCapacity ?? false, isSpare: spare ?? false,
		})),
		// Fields that are 0 are left out on the wire; a bound of 0 would refuse all.
		limits: {
			maxBodyBytes: limits?.maxBodyBytes ?? 262_144,
			maxHeaderBytes: limits?.maxHeaderBytes ?? 16_384,
			headerTimeoutMs: limits?.headerTimeoutMs ?? 3000,
			idleTimeoutMs: limits?.idleTimeoutMs ?? 15_000,
		},
	};
};

const decodeQueue = ({
	name, host, pathPrefix, service, priority, maxAttempts, stretch, targetLatencyMs, timeoutMs, advice,
}: WireRoute): QueueConfig => ({
	name: name ?? '',
	host: host ?? '',
	pathPrefix: pathPrefix ?? '/',
	service: service ?? '',
	priority: priority ?? 0,
	maxAttempts: maxAttempts ?? 1,
	stretch: stretch ?? 1,
	targetLatencyMs: targetLatencyMs ?? 0,
	timeoutMs: timeoutMs ?? 0,
	...(advice && {advice: {decisionMs: advice.decisionMs ?? 0, perWorkerMs: advice.periodMs ?? 0, validMs: advice.validityMs ?? 0}}),
});
