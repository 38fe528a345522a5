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
		queues: fields.array('routes', decodeQueue),
		services: fields.array('services', decodeService),
		// Fields with the value 0 are omitted from the encoded form; a limit of 0 would refuse every request, so the defaults apply.
		limits: {
			maxBodyBytes: limits.nonNegativeNumber('maxBodyBytes', 262_144),
			maxHeaderBytes: limits.nonNegativeNumber('maxHeaderBytes', 16_384),
			headerTimeoutMs: limits.nonNegativeNumber('headerTimeoutMs', 3000),
			idleTimeoutMs: limits.nonNegativeNumber('idleTimeoutMs', 15_000),
		},
	};
};

const decodeService = (value: unknown): SiteConfig['services'][number] => {
	const service = new Fields(value, 'read service');
	return {
		name: service.string('name'), enforcesCapacity: service.boolean('enforcesCapacity', false), isSpare: service.boolean('spare', false),
	};
};

const decodeQueue = (value: unknown): QueueConfig => {
	const route = new Fields(value, 'read route');
	const advice = route.optionalFields('advice');
	return {
		name: route.string('name', ''),
		host: route.string('host', ''),
		pathPrefix: route.string('pathPrefix', '/'),
		service: route.string('service', ''),
		priority: route.number('priority', 0),
		maxAttempts: route.nonNegativeInteger('maxAttempts', 1),
		stretch: route.nonNegativeNumber('stretch', 1),
		targetLatencyMs: route.nonNegativeNumber('targetLatencyMs', 0),
		timeoutMs: route.nonNegativeNumber('timeoutMs', 0),
		...(advice && {advice: {decisionMs: advice.nonNegativeNumber('decisionMs', 0), perWorkerMs: advice.nonNegativeNumber('periodMs', 0), validMs: advice.nonNegativeNumber('validityMs', 0)}}),
	};
};
