/**
HTTP server for the announcements of the worker on this host, which calls no other process.
*/
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {getMessage} from '../core/errors.ts';
import {type Clock} from '../types/clock.ts';
import {type WorkerReport} from '../types/fleet.ts';
import {readBody} from '../utils/http-server.ts';
import {decodeAnnouncement} from './worker-calls.ts';
import {AnnouncedWorkers} from './worker-identity.ts';

/** Handlers for announcements. */
export type AnnounceHandlers = {
	onReport: (report: WorkerReport) => void;
	/** The worker announces that it ends now. */
	onLeave: (workerId: string) => void;
	/** An announcement cannot be decoded; `writer` is the worker id in its path. */
	onInvalid: (writer: string, reason: string) => void;
};

const pathPattern = /^\/instances\/([^/?]+)$/;
// A worker whose announcement is not acknowledged within 1 s announces itself elsewhere.
const bounds = {maxBytes: 65_536, timeoutMs: 1000};

/** Creates the server; the caller of this function binds and closes it. */
export const createAnnounceServer = (clock: Clock, handlers: AnnounceHandlers): Server => {
	const announced = new AnnouncedWorkers();
	return createServer(async (request, response) => {
		await handleAnnouncement(clock, handlers, announced, {request, response});
	});
};

const handleAnnouncement = async (clock: Clock, {onReport, onLeave, onInvalid}: AnnounceHandlers, announced: AnnouncedWorkers, {request, response}: {request: IncomingMessage; response: ServerResponse}): Promise<void> => {
	const answer = (status: number, body: string) => {
		response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)});
		response.end(body);
	};

	const instanceId = pathPattern.exec(request.url ?? '')?.[1];
	try {
		const body = await readBody(request, clock, bounds);
		if (instanceId === undefined || (request.method !== 'PUT' && request.method !== 'DELETE')) {
			answer(404, '{}');
			return;
		}

		if (request.method === 'DELETE') {
			onLeave(announced.getNewest(instanceId));
		} else {
			const report = decodeAnnouncement(instanceId, body);
			announced.record(report.workerId);
			onReport(report);
		}

		answer(200, '{}');
	} catch (error) {
		onInvalid(instanceId ?? '', getMessage(error));
		answer(400, '{}');
	}
};
