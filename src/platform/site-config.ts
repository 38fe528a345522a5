/**
Decodes the configuration that operators declare for the site.
*/
import {type QueueConfig, type SiteConfig} from '../types/site.ts';
import {Fields, parseFields} from '../utils/fields.ts';

/** Topic of the operators' declarations. */
export const operatorTopic = 'keyed.op';
/** Key of the configuration in the operators' topic. */
export const configKey = 'config';

const evacuationPrefix = 'evacuate/';

/** Gets the failure domain that a key in the operators' topic requests to evacuate; undefined for any other key. */
export const getEvacuatedDomain = (key: string): string | undefined =>
	key.startsWith(evacuationPrefix) ? key.slice(evacuationPrefix.length) : undefined;

/** Decodes the configuration. Throws `bad-input`. */
export const decodeSiteConfig = (text: string): SiteConfig => {
	const fields = parseFields(text, 'read configuration');
	const limits = fields.optionalFields('limits') ?? new Fields({}, 'read configuration');
	return {
		version: fields.number('version'),
		queues: fields.list('routes', decodeQueue),
		services: fields.list('services', decodeService),
		// Fields with the value 0 are omitted from the encoded form; a limit of 0 would refuse every request, so the defaults apply.
		limits: {
			maxBodyBytes: limits.amount('maxBodyBytes', 262_144),
			maxHeaderBytes: limits.amount('maxHeaderBytes', 16_384),
			headerTimeoutMs: limits.amount('headerTimeoutMs', 3000),
			idleTimeoutMs: limits.amount('idleTimeoutMs', 15_000),
		},
	};
};

const decodeService = (value: unknown): SiteConfig['services'][number] => {
	const service = new Fields(value, 'read service');
	return {
		name: service.text('name'), guardsCapacity: service.flag('enforcesCapacity', false), isSpare: service.flag('spare', false),
	};
};

const decodeQueue = (value: unknown): QueueConfig => {
	const route = new Fields(value, 'read route');
	const advice = route.optionalFields('advice');
	return {
		name: route.text('name', ''),
		host: route.text('host', ''),
		pathPrefix: route.text('pathPrefix', '/'),
		service: route.text('service', ''),
		priority: route.number('priority', 0),
		maxAttempts: route.count('maxAttempts', 1),
		stretch: route.amount('stretch', 1),
		targetLatencyMs: route.amount('targetLatencyMs', 0),
		timeoutMs: route.amount('timeoutMs', 0),
		...(advice && {advice: {decisionMs: advice.amount('decisionMs', 0), perWorkerMs: advice.amount('periodMs', 0), validMs: advice.amount('validityMs', 0)}}),
	};
};
