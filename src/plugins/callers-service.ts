/**
Serves callers: routes each request to an upstream of its service and passes the whole answer back.
*/
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {Agent} from 'undici';
import {
	createError, ErrorCode, getErrorCode, getMessage,
} from '../core/errors.ts';
import {type Kernel} from '../core/kernel.ts';
import {type UpstreamAnnouncement} from '../types/announcements.ts';
import {Metric} from '../types/metrics.ts';
import {Header, Outcome, RefusalReason} from '../types/requests.ts';
import {ServiceName, type CallersService} from '../types/services.ts';
import {close, listen, readBody} from '../utils/http-server.ts';
import {createLogger, Part} from '../utils/logger.ts';

const log = createLogger(Part.Callers);

/** Creates the server for callers. */
export const createCallersService = (kernel: Kernel): CallersService => {
	const settings = kernel.get(ServiceName.Settings);
	const upstreams = kernel.get(ServiceName.Upstreams);
	const metrics = kernel.get(ServiceName.Metrics);
	const clock = kernel.get(ServiceName.Clock);
	const agent = new Agent({pipelining: 1});
	const inFlight = new Map<string, number>();
	const bounds = {maxBytes: settings.callers.maxBodyBytes, timeoutMs: settings.callers.bodyTimeoutMs};
	let boundAddress = '';

	const server = createServer(async (request, response) => {
		try {
			await serve(request, response);
		} catch (error) {
			log('Request failed: %s', getMessage(error));
			const isTooLarge = getErrorCode(error) === ErrorCode.BodyTooLarge;
			refuse(response, isTooLarge ? RefusalReason.BodyTooLarge : RefusalReason.UpstreamFailed, isTooLarge ? Outcome.NotRun : Outcome.Unknown);
		}
	});

	const refuse = (response: ServerResponse, reason: RefusalReason, outcome: Outcome) => {
		metrics.count(Metric.Refusals, reason);
		if (response.headersSent) {
			// An answer cut short must be visibly broken.
			response.destroy();
			return;
		}

		response.writeHead(reason === RefusalReason.UnknownService ? 404 : 503, {
			[Header.Outcome]: outcome, [Header.RefusalReason]: reason,
		});
		response.end();
	};

	const serve = async (request: IncomingMessage, response: ServerResponse) => {
		metrics.count(Metric.Requests);
		const serviceName = (request.url ?? '/').split('/')[1] ?? '';
		if (!kernel.get(ServiceName.Config).getSection(`service ${serviceName}`)?.values) {
			refuse(response, RefusalReason.UnknownService, Outcome.NotRun);
			return;
		}

		const body = await readBody(request, clock, bounds);
		const upstream = getLeastLoaded(upstreams.getRoutable(serviceName));
		if (!upstream) {
			refuse(response, RefusalReason.NoUpstream, Outcome.NotRun);
			return;
		}

		await pass(request, body, upstream, response);
		metrics.count(Metric.Answers);
	};

	const getLeastLoaded = (candidates: UpstreamAnnouncement[]) => {
		const load = ({upstreamId}: UpstreamAnnouncement) => inFlight.get(upstreamId) ?? 0;
		return candidates.reduce<UpstreamAnnouncement | undefined>((best, candidate) => best && load(best) <= load(candidate) ? best : candidate, undefined);
	};

	const pass = async (request: IncomingMessage, body: Buffer, upstream: UpstreamAnnouncement, response: ServerResponse) => {
		const {upstreamId, address} = upstream;
		inFlight.set(upstreamId, (inFlight.get(upstreamId) ?? 0) + 1);
		try {
			const answer = await agent.request({
				origin: `http://${address}`, path: request.url ?? '/', method: (request.method ?? 'GET'), headers: getPassedHeaders(request), body,
			});
			response.writeHead(answer.statusCode, {...answer.headers, [Header.Entry]: kernel.get(ServiceName.Identity).processId});
			for await (const chunk of answer.body) {
				response.write(chunk);
			}

			response.end();
		} catch (error) {
			throw createError(ErrorCode.PeerUnavailable, {step: 'pass request', peer: upstreamId, cause: error});
		} finally {
			inFlight.set(upstreamId, inFlight.get(upstreamId)! - 1);
		}
	};

	return {
		getAddress: () => boundAddress,
		async start() {
			boundAddress = await listen(server, settings.entry.callerAddress);
		},
		async stop() {
			await close(server);
			await agent.close();
		},
	};
};

const hopByHop = new Set(['connection', 'keep-alive', 'transfer-encoding', 'upgrade', 'host', 'expect', 'te', 'trailer', 'proxy-connection', 'content-length']);

const getPassedHeaders = (request: IncomingMessage): Record<string, string | string[]> => {
	const passed: Record<string, string | string[]> = {};
	for (const [name, value] of Object.entries(request.headers)) {
		if (value !== undefined && !hopByHop.has(name)) {
			passed[name] = value;
		}
	}

	return passed;
};
