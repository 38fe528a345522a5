/**
Reads what a caller asks for from the line and the headers of a request.
*/
import {type IncomingMessage} from 'node:http';
import {type Settings} from '../core/settings-schema.ts';
import {Header, RefusalReason, RequestClass} from '../types/requests.ts';

/** Attributes of a caller's request. */
export type RequestFacts = {
	method: string;
	path: string;
	serviceName: string;
	requestClass: RequestClass;
	callerId: string;
	deadlineMs: number;
	/** May be retried even if it may have run. */
	isIdempotent: boolean;
	/** Id to claim before the request runs; undefined for an idempotent one. */
	requestId?: string;
	/** The caller retries by itself. */
	isNoRetry: boolean;
	hasBody: boolean;
};

const safeMethods = new Set(['GET', 'HEAD', 'OPTIONS']);
const idempotentMethods = new Set([...safeMethods, 'PUT', 'DELETE']);
const nonIdempotentMethods = new Set(['POST', 'PATCH']);
const maxCallerIdLength = 128;
const integerPattern = /^\d{1,9}$/;

/** Reads the attributes of a request, or returns why it is refused. */
export const readRequestFacts = (request: IncomingMessage, settings: Settings['callers']): RequestFacts | RefusalReason => {
	const {headers, method = 'GET', url = '/'} = request;
	if (!url.startsWith('/') || headers.upgrade !== undefined || !(idempotentMethods.has(method) || nonIdempotentMethods.has(method))) {
		return RefusalReason.BadRequest;
	}

	const requestClass = readClass(headers[Header.RequestClass], method);
	const deadlineMs = requestClass && readDeadlineMs(headers[Header.DeadlineMs], requestClass, settings);
	if (requestClass === undefined || deadlineMs === undefined) {
		return RefusalReason.BadRequest;
	}

	const requestId = headers[Header.RequestId];
	const isIdempotent = isRetryable(method, requestClass, requestId !== undefined);
	if (!isIdempotent && requestId === undefined) {
		return RefusalReason.MissingRequestId;
	}

	if (!isIdempotent && typeof requestId !== 'string') {
		return RefusalReason.BadRequestId;
	}

	return {
		method,
		path: url,
		serviceName: getServiceName(url),
		requestClass,
		callerId: readCallerId(request),
		deadlineMs,
		isIdempotent,
		requestId: isIdempotent ? undefined : requestId as string,
		isNoRetry: headers[Header.NoRetry] !== undefined,
		hasBody: headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined,
	};
};

/** Requests of class `check` with an idempotent method may be retried; an id on `PUT` or `DELETE` asks for at most one run. */
const isRetryable = (method: string, requestClass: RequestClass, hasId: boolean): boolean =>
	requestClass === RequestClass.Check && (safeMethods.has(method) || (idempotentMethods.has(method) && !hasId));

const readClass = (value: string | string[] | undefined, method: string): RequestClass | undefined => {
	if (value === undefined) {
		return nonIdempotentMethods.has(method) ? RequestClass.Long : RequestClass.Check;
	}

	return value === RequestClass.Check || value === RequestClass.Long ? value : undefined;
};

const readDeadlineMs = (value: string | string[] | undefined, requestClass: RequestClass, settings: Settings['callers']): number | undefined => {
	if (value === undefined) {
		return requestClass === RequestClass.Check ? settings.checkDeadlineMs : settings.longDeadlineMs;
	}

	return typeof value === 'string' && integerPattern.test(value) ? Number(value) : undefined;
};

const readCallerId = ({headers, socket}: IncomingMessage): string => {
	const callerId = headers[Header.CallerId];
	return typeof callerId === 'string' && callerId !== '' ? callerId.slice(0, maxCallerIdLength) : socket.remoteAddress ?? '';
};

const getServiceName = (url: string): string => {
	const end = url.slice(1).search(/[/?#]/);
	return end === -1 ? url.slice(1) : url.slice(1, end + 1);
};
