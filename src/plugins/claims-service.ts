/**
Keeps claims of request ids in the log, so that no request with an id runs twice, and tells what became of each.
*/
import {createAppendPace} from '../core/append-pace.ts';
import {createError, ErrorCode, getMessage} from '../core/errors.ts';
import {type Kernel} from '../core/kernel.ts';
import {followLog} from '../core/log-reader.ts';
import {ClaimBook} from '../requests/claim-book.ts';
import {findStartOffset} from '../requests/claim-start.ts';
import {Metric} from '../types/metrics.ts';
import {Stream} from '../types/platform.ts';
import {ServiceName, type ClaimsService} from '../types/services.ts';
import {createLogger, Part} from '../utils/logger.ts';

const log = createLogger(Part.Claims);
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
	let tasks: Array<Promise<void>> = [];

	const book = new ClaimBook({
		log: platformLog,
		clock,
		random,
		entryId: kernel.get(ServiceName.Identity).processId,
		settings,
		getPaceMs: createAppendPace(kernel, settings.claims.appendEveryMs),
		onAppend(isSuccess, error) {
			metrics.count(isSuccess ? Metric.LogAppends : Metric.LogErrors, Stream.Claims);
			if (!isSuccess) {
				log('Claims not appended: %s', getMessage(error));
			}
		},
		onEndDropped(requestId) {
			metrics.count(Metric.ClaimEndsDropped);
			log('The end of %s was dropped: the log is down and the buffer is full.', requestId);
		},
	});

	const follow = async () => {
		const fromOffset = await findStartOffset({
			log: platformLog, clock, random, settings, signal: reading.signal,
		});
		await followLog({
			onRecord(record) {
				book.onRecord(record);
			},
			onGap() {
				book.onGap();
			},
			onPage(page) {
				book.onPage(page);
				metrics.gauge(Metric.ClaimsOpen, book.openCount);
			},
			onBadRecord(record, error) {
				metrics.count(Metric.BadRecords, Stream.Claims);
				log('Bad record at offset %d: %s', record.offset, getMessage(error));
			},
			onUnavailable(message) {
				book.onUnavailable();
				metrics.count(Metric.LogErrors, Stream.Claims);
				log('Claims not read: %s', message);
			},
		}, {
			log: platformLog, stream: Stream.Claims, clock, random, fromOffset, signal: reading.signal,
		});
	};

	control.addReadiness('claims', () => book.hasReadEnd);
	control.addStatus('claims', () => book.getStatus());
	control.route('GET', '/v1/requests/:id', ({params}) => {
		const status = book.lookup(params.id ?? '');
		if (!status) {
			throw createError(ErrorCode.NotFound, {step: 'look up request', detail: params.id});
		}

		return {body: status};
	});
	control.route('GET', '/v1/requests', ({query}) => {
		if (query.get('state') !== 'open') {
			throw createError(ErrorCode.BadInput, {step: 'list requests', detail: 'only state=open is listed'});
		}

		const open = book.listOpen();
		const limit = Math.max(1, Number(query.get('limit') ?? defaultListLimit) || defaultListLimit);
		return {body: {count: open.length, requests: open.slice(0, limit)}};
	});

	return {
		claim: async (requestId, serviceName, timeoutMs) => book.claim(requestId, serviceName, timeoutMs),
		judge: requestId => book.judge(requestId),
		isDispatchable: requestId => book.isDispatchable(requestId),
		finish(requestId, end) {
			book.finish(requestId, end);
		},
		lookup: requestId => book.lookup(requestId),
		listOpen: () => book.listOpen(),
		async start() {
			tasks = [follow(), book.run(writing.signal)];
		},
		async stop() {
			writing.abort();
			try {
				await book.stop();
			} catch (error) {
				// What ran stays listed as open; nothing is reported as not run that ran.
				log('Ends not written at the stop: %s', getMessage(error));
			}

			reading.abort();
			await Promise.all(tasks);
		},
	};
};
