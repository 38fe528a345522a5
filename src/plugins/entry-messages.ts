/**
Calls between entries about jobs: relayed calls are JSON over HTTP, calls that a late entry forwards go over one open connection.
*/
import {createError, ErrorCode} from '../core/errors.ts';
import {
	type EntryClient, type EntryLoad, type ForwardedReply, type ForwardClient, type RelayedJob,
} from '../types/entries.ts';
import {
	LookupOutcome, SubmitOutcome, type JobApi, type StateReply, type SubmitReply,
} from '../types/job-api.ts';
import {type QueueConfig} from '../types/site.ts';
import {type WorkflowSpec} from '../types/workflows.ts';
import {type StreamClient} from '../utils/call-stream-client.ts';
import {Fields} from '../utils/fields.ts';
import {type HttpClient} from '../utils/keep-alive-client.ts';
import {type JsonServer} from '../utils/http-server.ts';
import {type EntryRouter} from '../workflows/entry-router.ts';
import {createRelayTarget} from '../workflows/relaying-api.ts';

/** Entries are close to each other, and the kernel of a host accepts connections however busy the process is. */
const connectTimeoutMs = 100;
const submitPath = '/v1/entry/submit';
const statePath = '/v1/entry/state';
const cancelPath = '/v1/entry/cancel';
const countPath = '/v1/entry/count';
const loadPath = '/v1/entry/load';
/** Share of the time of a call that the entry which it is forwarded to may use. */
const servedShare = 0.8;

/** Reply to a cancellation. `isStored`: the cancellation of an id without a job is in the stream. */
type CancelReply = {outcome: LookupOutcome; isStored?: boolean};

/** Versions that cancel known jobs only answer "absent" without a record, and an attempt that is on its way may still run. */
const decodeCancelReply = ({outcome, isStored}: CancelReply): LookupOutcome =>
	outcome === LookupOutcome.Absent && !isStored ? LookupOutcome.Unknown : outcome;

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
		cancel: async (address, job, timeoutMs) => decodeCancelReply(await post(address, cancelPath, job, timeoutMs) as CancelReply),
		async countPending(address, queue, timeoutMs) {
			const {pendingCount} = await post(address, countPath, {queue}, timeoutMs) as {pendingCount?: number};
			return pendingCount;
		},
	};
};

/** Creates the client of an entry that forwards calls: they share one open connection to each entry. */
export const createForwardClient = (streams: StreamClient): ForwardClient => {
	const post = async (address: string, path: string, json: Record<string, unknown>, timeoutMs: number): Promise<Record<string, unknown>> => {
		const answer = await streams.call({
			// The other entry times out first: a call without an answer would end the calls of others on the connection.
			address, path, json: {...json, isForwarded: true, timeoutMs: Math.round(timeoutMs * servedShare)}, timeoutMs, step: `forward to entry ${path}`,
		});
		if (answer.status !== 200) {
			throw createError(ErrorCode.PeerUnavailable, {step: `forward to entry ${path}`, peer: address, detail: `status ${answer.status}`});
		}

		return answer.json as Record<string, unknown>;
	};

	const decode = <Reply>({isRefused, load, ...reply}: Record<string, unknown>, read: (reply: Record<string, unknown>) => Reply): ForwardedReply<Reply> => ({
		reply: isRefused ? undefined : read(reply), load: decodeLoad(load),
	});

	return {
		submit: async (address, job, timeoutMs) => decode(await post(address, submitPath, job, timeoutMs), reply => reply as SubmitReply),
		getState: async (address, job, timeoutMs) => decode(await post(address, statePath, job, timeoutMs), reply => reply as StateReply),
		cancel: async (address, job, timeoutMs) => decode(await post(address, cancelPath, job, timeoutMs), reply => decodeCancelReply(reply as CancelReply)),
		countPending: async (address, queue, timeoutMs) => decode(await post(address, countPath, {queue}, timeoutMs), ({pendingCount}) => pendingCount as number | undefined),
		async getLoad(address, timeoutMs) {
			const {status, json} = await streams.call({
				address, path: loadPath, json: {}, timeoutMs, step: 'ask entry for its load',
			});
			return status === 200 ? decodeLoad((json as {load?: unknown}).load) : undefined;
		},
	};
};

/** Decodes the load of an entry; undefined if the answer has none, or an invalid one. */
export const decodeLoad = (value: unknown): EntryLoad | undefined => {
	try {
		const fields = new Fields(value, 'read entry load');
		return {
			lateShare: fields.nonNegativeNumber('lateShare'),
			...(fields.has('linkShare') && {linkShare: fields.nonNegativeNumber('linkShare')}),
			openCalls: fields.nonNegativeNumber('openCalls'),
			...(fields.has('stalenessMs') && {stalenessMs: fields.nonNegativeNumber('stalenessMs')}),
			...(fields.has('isStoreFailing') && {isStoreFailing: fields.boolean('isStoreFailing')}),
			isReady: fields.boolean('isReady'),
		};
	} catch {
		return undefined;
	}
};

/** Admits calls that other entries forward. */
export type HandedAdmission = Pick<EntryRouter, 'tryAdmit' | 'getLoad'>;

/**
Adds the routes of the called entry to a server: it handles each call itself and passes it to no other entry. Calls that were forwarded
are admitted first, and answered with this entry's load; without an admission they are served like relayed ones.
*/
export const serveEntry = (server: JsonServer, jobs: JobApi, isStoreFailing: () => boolean, admission?: HandedAdmission): void => {
	const target = createRelayTarget(jobs, isStoreFailing);
	const serve = async (kind: string, {isForwarded}: {isForwarded?: boolean}, act: () => Promise<object>): Promise<{body: object}> => {
		if (!isForwarded || !admission) {
			return {body: await act()};
		}

		const release = admission.tryAdmit(kind);
		if (!release) {
			return {body: {isRefused: true, load: roundLoad(admission.getLoad())}};
		}

		try {
			return {body: {...await act(), load: roundLoad(admission.getLoad())}};
		} finally {
			release();
		}
	};

	// Queues without a name cannot be distinguished here.
	const findQueue = (name: string): QueueConfig | undefined => name === '' ? undefined : jobs.getConfig()?.queues.find(queue => queue.name === name);
	server.route('POST', submitPath, async ({body}) => {
		const {queue, id, spec, timeoutMs, ...options} = body as RelayedJob & {spec: WorkflowSpec; timeoutMs: number};
		const config = findQueue(queue);
		return serve('submit', options, async (): Promise<SubmitReply> => config
			? target.submit(config, id, spec, timeoutMs)
			: {outcome: SubmitOutcome.NotAccepted, reason: 'no such queue'});
	});
	server.route('POST', statePath, async ({body}) => {
		const {queue, id, timeoutMs, ...options} = body as RelayedJob & {timeoutMs: number};
		const config = findQueue(queue);
		return serve('state', options, async (): Promise<StateReply> => config ? target.getState(config, id, timeoutMs) : {outcome: LookupOutcome.Unknown});
	});
	server.route('POST', cancelPath, async ({body}) => {
		const {queue, id, timeoutMs, ...options} = body as RelayedJob & {timeoutMs: number};
		const config = findQueue(queue);
		return serve('cancel', options, async (): Promise<CancelReply> => {
			const outcome = config ? await target.cancel(config, id, timeoutMs) : LookupOutcome.Unknown;
			return {outcome, ...(outcome === LookupOutcome.Absent && {isStored: true})};
		});
	});
	server.route('POST', countPath, async ({body}) => {
		const {queue, timeoutMs, ...options} = body as {queue: string; timeoutMs: number};
		const config = findQueue(queue);
		return serve('count', options, async () => ({pendingCount: config && await target.countPending(config, timeoutMs)}));
	});
	if (admission) {
		server.route('POST', loadPath, () => ({body: {load: roundLoad(admission.getLoad())}}));
	}
};

/** Shortens the figures on their way: each is sent with every answer. */
const roundLoad = ({lateShare, linkShare, stalenessMs, ...load}: EntryLoad): EntryLoad => ({
	...load,
	lateShare: Number(lateShare.toFixed(2)),
	...(linkShare !== undefined && {linkShare: Number(linkShare.toFixed(2))}),
	...(stalenessMs !== undefined && {stalenessMs: Math.ceil(stalenessMs)}),
});
