/**
HTTP server for the announcements of the worker on this host, which calls no other process.
*/
import {createServer, type Server} from 'node:http';
import {getMessage} from '../core/errors.ts';
import {type Clock} from '../types/clock.ts';
import {type WorkerReport} from '../types/fleet.ts';
import {readBody} from '../utils/http-server.ts';
import {decodeAnnouncement} from './worker-calls.ts';

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
export const createAnnounceServer = (clock: Clock, {onReport, onLeave, onInvalid}: AnnounceHandlers): Server => createServer(async (request, response) => {
	const answer = (status: number, body: string) => {
		response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)});
		response.end(body);
	};

	const workerId = pathPattern.exec(request.url ?? '')?.[1];
	try {
		const body = await readBody(request, clock, bounds);
		if (workerId === undefined || (request.method !== 'PUT' && request.method !== 'DELETE')) {
			answer(404, '{}');
			return;
		}

		if (request.method === 'DELETE') {
			onLeave(workerId);
		} else {
			onReport(decodeAnnouncement(workerId, body));
		}

		answer(200, '{}');
	} catch (error) {
		onInvalid(workerId ?? '', getMessage(error));
		answer(400, '{}');
	}
});
