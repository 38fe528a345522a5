/**
Calls between entries about jobs: JSON over HTTP.
*/
import {createError, ErrorCode} from '../core/errors.ts';
import {type EntryClient, type RelayedJob} from '../types/entries.ts';
import {
	LookupOutcome, SubmitOutcome, type JobApi, type StateReply, type SubmitReply,
} from '../types/job-api.ts';
import {type QueueConfig} from '../types/site.ts';
import {type WorkflowSpec} from '../types/workflows.ts';
import {type HttpClient} from '../utils/keep-alive-client.ts';
import {type JsonServer} from '../utils/http-server.ts';
import {createRelayTarget} from '../workflows/relaying-api.ts';

/** Entries are close to each other, and the kernel of a host accepts connections however busy the process is. */
const connectTimeoutMs = 100;
const submitPath = '/v1/entry/submit';
const statePath = '/v1/entry/state';
const cancelPath = '/v1/entry/cancel';
const countPath = '/v1/entry/count';

/** Creates the client of the calling entry. */
export const createEntryClient = (http: HttpClient): EntryClient => {
	const post = async (address: string, path: string, json: Record<string, unknown>, timeoutMs: number): Promise<unknown> => {
		const answer = await http.callJson({
			address, method: 'POST', path, json: {...json, timeoutMs}, timeoutMs, connectTimeoutMs, step: `call entry ${path}`,
		});
		if (answer.status !== 200) {
			throw createError(ErrorCode.PeerUnavailable, {step: `call entry ${path}`, peer: address, detail: `status ${answer.status}`});
		}

		return answer.json;
	};

	return {
		submit: async (address, job, timeoutMs) => await post(address, submitPath, job, timeoutMs) as SubmitReply,
		getState: async (address, job, timeoutMs) => await post(address, statePath, job, timeoutMs) as StateReply,
		async cancel(address, job, timeoutMs) {
			const {outcome} = await post(address, cancelPath, job, timeoutMs) as {outcome: LookupOutcome};
			return outcome;
		},
		async countPending(address, queue, timeoutMs) {
			const {pendingCount} = await post(address, countPath, {queue}, timeoutMs) as {pendingCount?: number};
			return pendingCount;
		},
	};
};

/** Adds the routes of the called entry to a server: it handles each call itself and does not relay it further. */
export const serveEntry = (server: JsonServer, jobs: JobApi, isStoreFailing: () => boolean): void => {
	const target = createRelayTarget(jobs, isStoreFailing);
	// Queues without a name cannot be distinguished here.
	const findQueue = (name: string): QueueConfig | undefined => name === '' ? undefined : jobs.getConfig()?.queues.find(queue => queue.name === name);
	server.route('POST', submitPath, async ({body}) => {
		const {queue, id, spec, timeoutMs} = body as RelayedJob & {spec: WorkflowSpec; timeoutMs: number};
		const config = findQueue(queue);
		const reply: SubmitReply = config
			? await target.submit(config, id, spec, timeoutMs)
			: {outcome: SubmitOutcome.NotAccepted, reason: 'no such queue'};
		return {body: reply};
	});
	server.route('POST', statePath, async ({body}) => {
		const {queue, id, timeoutMs} = body as RelayedJob & {timeoutMs: number};
		const config = findQueue(queue);
		const reply: StateReply = config ? await target.getState(config, id, timeoutMs) : {outcome: LookupOutcome.Unknown};
		return {body: reply};
	});
	server.route('POST', cancelPath, async ({body}) => {
		const {queue, id, timeoutMs} = body as RelayedJob & {timeoutMs: number};
		const config = findQueue(queue);
		return {body: {outcome: config ? await target.cancel(config, id, timeoutMs) : LookupOutcome.Unknown}};
	});
	server.route('POST', countPath, async ({body}) => {
		const {queue, timeoutMs} = body as {queue: string; timeoutMs: number};
		const config = findQueue(queue);
		return {body: {pendingCount: config && await target.countPending(config, timeoutMs)}};
	});
};
