/**
Transport for calls between entries: one unary gRPC method with MessagePack bodies.
*/
import {
	Client, credentials, Server, ServerCredentials, status, type handleUnaryCall, type MethodDefinition,
} from '@grpc/grpc-js';
import {decode, encode} from '@msgpack/msgpack';
import {createError, ErrorCode, getMessage} from '../core/errors.ts';
import {type PeerMethod} from '../types/services.ts';
import {parseAddress} from '../utils/address.ts';

/** One call between entries. */
export type PeerRequest = {
	fromId: string;
	/** Id of the called entry; empty while only its address is known. */
	toId: string;
	method: PeerMethod;
	body: unknown;
};

/** Handles one call of a peer. */
export type PeerRequestHandler = (request: PeerRequest) => Promise<unknown>;

/** Carries calls between entries. */
export type PeerTransport = {
	/** Serves calls; resolves to the bound address. */
	listen(address: string, serve: PeerRequestHandler): Promise<string>;
	/** Calls the entry at the address. Throws `peer-unavailable` if no answer arrives. */
	call(address: string, request: PeerRequest, timeoutMs: number): Promise<unknown>;
	close(): Promise<void>;
};

type Answer = {isOk: true; body: unknown} | {isOk: false; detail: string};

const path = '/chervilworks.Peer/Call';
const maxMessageBytes = 33_554_432;
const clientOptions = {
	'grpc.initial_reconnect_backoff_ms': 100,
	'grpc.max_reconnect_backoff_ms': 1000,
	'grpc.max_receive_message_length': maxMessageBytes,
	// Several entries in one process, as in tests, must not share a connection, since one of them may close it.
	'grpc.use_local_subchannel_pool': 1,
};

const pack = (value: unknown): Buffer => {
	const bytes = encode(value, {ignoreUndefined: true});
	return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
};

const method: MethodDefinition<PeerRequest, Answer> = {
	path,
	requestStream: false,
	responseStream: false,
	requestSerialize: pack,
	requestDeserialize: bytes => decode(bytes) as PeerRequest,
	responseSerialize: pack,
	responseDeserialize: bytes => decode(bytes) as Answer,
};

/** Creates the transport over gRPC. */
export const createGrpcTransport = (): PeerTransport => {
	const clients = new Map<string, Client>();
	const server = new Server({'grpc.max_receive_message_length': maxMessageBytes});

	const getClient = (address: string): Client => {
		let client = clients.get(address);
		if (!client) {
			client = new Client(address, credentials.createInsecure(), clientOptions);
			clients.set(address, client);
		}

		return client;
	};

	return {
		async listen(address, serve) {
			const handler: handleUnaryCall<PeerRequest, Answer> = async (call, callback) => {
				try {
					callback(null, {isOk: true, body: await serve(call.request)});
				} catch (error) {
					callback(null, {isOk: false, detail: getMessage(error)});
				}
			};

			server.addService({call: method}, {call: handler});
			const port = await new Promise<number>((resolve, reject) => {
				server.bindAsync(address, ServerCredentials.createInsecure(), (error, bound) => {
					if (error) {
						reject(error);
						return;
					}

					resolve(bound);
				});
			});
			return `${parseAddress(address).host}:${port}`;
		},
		async call(address, request, timeoutMs) {
			const answer = await new Promise<Answer>((resolve, reject) => {
				getClient(address).makeUnaryRequest(path, method.requestSerialize, method.responseDeserialize, request, {deadline: Date.now() + timeoutMs}, (error, value) => {
					if (error ?? !value) {
						const detail = error ? `${status[error.code]}: ${error.details}` : 'no answer';
						reject(createError(ErrorCode.PeerUnavailable, {step: `call ${request.method}`, peer: address, detail}));
						return;
					}

					resolve(value);
				});
			});
			if (!answer.isOk) {
				throw createError(ErrorCode.Refused, {step: `call ${request.method}`, peer: address, detail: answer.detail});
			}

			return answer.body;
		},
		async close() {
			for (const client of clients.values()) {
				client.close();
			}

			clients.clear();
			await new Promise<void>(resolve => {
				server.tryShutdown(() => {
					resolve();
				});
				// Peers keep their connections open; calls in progress are short and may be aborted.
				server.forceShutdown();
			});
		},
	};
};
