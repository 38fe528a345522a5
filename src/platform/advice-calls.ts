/**
Client of the advice service over HTTP.
*/
import {createError, ErrorCode} from '../core/errors.ts';
import {type AdviceClient} from '../types/advice.ts';
import {Fields} from '../utils/fields.ts';
import {type HttpClient} from '../utils/keep-alive-client.ts';
import {getInstanceId} from './worker-identity.ts';

/** The service answers one call after the other: when all calls of this process wait, an answer takes some seconds. */
const timeoutMs = 10_000;

/** Creates the client of the service at the address. */
export const createAdviceClient = (http: HttpClient, address: string): AdviceClient => ({
	async ask(stepId, workerIds) {
		const workerIdByInstance = new Map(workerIds.map(workerId => [getInstanceId(workerId), workerId]));
		const {status, json} = await http.callJson({
			address, method: 'POST', path: '/advise', json: {step: stepId, workers: [...workerIdByInstance.keys()]}, timeoutMs, step: 'ask for advice',
		});
		if (status !== 200) {
			throw createError(ErrorCode.Refused, {step: 'ask for advice', peer: address, detail: `status ${status}`});
		}

		const fields = new Fields(json, 'read advice');
		return {
			tickets: fields.array('good', value => {
				const row = new Fields(value, 'read advice');
				const instanceId = row.string(0);
				return {workerId: workerIdByInstance.get(instanceId) ?? instanceId, ticket: row.string(1)};
			}),
			validMs: fields.nonNegativeNumber('validityMs', 0),
		};
	},
});
