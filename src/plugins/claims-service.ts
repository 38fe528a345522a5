/**
Stores claims of request ids in the log, so that no request with an id runs twice, and reports the state of each request.
*/
import {createAppendInterval} from '../core/append-interval.ts';
import {createError, ErrorCode, getMessage} from '../core/errors.ts';
import {type Kernel} from '../core/kernel.ts';
import {followLog} from '../core/log-reader.ts';
import {ClaimRegistry} from '../requests/claim-registry.ts';
import {findStartOffset} from '../requests/claim-start.ts';
import {Metric} from '../types/metrics.ts';
import {Stream} from '../types/platform.ts';
import {ServiceName, type ClaimsService} from '../types/services.ts';
import {createLogger, LogNamespace} from '../utils/logger.ts';

const log = createLogger(LogNamespace.Claims);
const defaultListLimit = 1000;

/** Creates the claims service. */
export const createClaimsService = (kernel: Kernel): ClaimsService => {
	const settings = kernel.get(ServiceName.Settings);
	const clock = kernel.get(ServiceName.Clock);
	const random = kernel.get(ServiceName.Random);
	const metrics = kernel.get(ServiceName.Metrics);
	const control = kernel.get(ServiceName.Control);
	const platformLog = kernel.get(ServiceName.Log);
	const reading = new AbortController();
	const writing = new AbortController();
	let following: Promise<void> | undefined;
	let running: Promise<void> | undefined;

	const registry = new ClaimRegistry({
		log: platformLog,
		clock,
		random,
		entryId: kernel.get(ServiceName.Identity).processId,
		settings,
		getAppendIntervalMs: createAppendInterval(kernel, settings.claims.appendEveryMs),
		onAppend(isSuccess, error) {
			metrics.count(isSuccess ? Metric.LogAppends : Metric.LogErrors, Stream.Claims);
			if (!isSuccess) {
				log('Append of claims failed: %s', getMessage(error));
			}
		},
		onEndDropped(requestId) {
			metrics.count(Metric.ClaimEndsDropped);
			log('End of request %s dropped: the log is unavailable and the buffer is full.', requestId);
		},
	});

	const follow = async () => {
		const fromOffset = await findStartOffset({
			log: platformLog, clock, random, settings, signal: reading.signal,
		});
		await followLog({
			onRecord(record) {
				registry.onRecord(record);
			},
			onGap() {
				registry.onGap();
			},
			onPage(page) {
				registry.onPage(page);
				metrics.gauge(Metric.ClaimsOpen, registry.openCount);
			},
			onBadRecord(record, error) {
				metrics.count(Metric.BadRecords, Stream.Claims);
				log('Bad record at offset %d: %s', record.offset, getMessage(error));
			},
			onUnavailable(message) {
				registry.onUnavailable();
				metrics.count(Metric.LogErrors, Stream.Claims);
				log('Read of claims failed: %s', message);
			},
		}, {
			log: platformLog, stream: Stream.Claims, clock, random, fromOffset, signal: reading.signal,
		});
	};

	control.addReadiness('claims', () => registry.hasReadEnd);
	control.addStatus('claims', () => registry.getStatus());
	control.route('GET', '/v1/requests/:id', ({params}) => {
		const status = registry.lookup(params.id ?? '');
		if (!status) {
			throw createError(ErrorCode.NotFound, {step: 'look up request', detail: params.id});
		}

		return {body: status};
	});
	control.route('GET', '/v1/requests', ({query}) => {
		if (query.get('state') !== 'open') {
			throw createError(ErrorCode.BadInput, {step: 'list requests', detail: 'the only supported filter is state=open'});
		}

		const open = registry.listOpen();
		const limit = Math.max(1, Number(query.get('limit') ?? defaultListLimit) || defaultListLimit);
		return {body: {count: open.length, requests: open.slice(0, limit)}};
	});

	return {
		claim: async (requestId, serviceName, timeoutMs) => registry.claim(requestId, serviceName, timeoutMs),
		checkRequestId: requestId => registry.checkRequestId(requestId),
		isDispatchable: requestId => registry.isDispatchable(requestId),
		finish(requestId, end) {
			registry.finish(requestId, end);
		},
		lookup: requestId => registry.lookup(requestId),
		listOpen: () => registry.listOpen(),
		async start() {
			following = follow();
			running = registry.run(writing.signal);
		},
		async stop() {
			writing.abort();
			// The append in flight must end first, because `registry.stop` appends the records again that it may have lost.
			await running;
			try {
				await registry.stop();
			} catch (error) {
				// The requests stay listed as open; none that ran is reported as not run.
				log('Ends of requests not written at shutdown: %s', getMessage(error));
			}

			reading.abort();
			await following;
		},
	};
};
