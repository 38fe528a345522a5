/**
Entries learn of each other from the log, from seeds and from each other, and call each other: one task for each peer.
*/
import {createError, ErrorCode, getMessage} from '../core/errors.ts';
import {type Kernel} from '../core/kernel.ts';
import {followLog} from '../core/log-reader.ts';
import {Metric} from '../types/metrics.ts';
import {Stream} from '../types/platform.ts';
import {
	PeerMethod, ServiceName, type PeerHandler, type PeersService,
} from '../types/services.ts';
import {createLogger, Part} from '../utils/logger.ts';
import {
	parseHello, parsePresenceRecord, PeersDirectory, type Hello, type Presence,
} from './peers-directory.ts';
import {createGrpcTransport, type PeerRequest, type PeerTransport} from './peers-transport.ts';

const log = createLogger(Part.Peers);
const namedPeers = 3;
const maxPauseFactor = 8;

/** Creates the peers service on a transport. */
export const createPeersService = (kernel: Kernel, transport: PeerTransport = createGrpcTransport()): PeersService => {
	const settings = kernel.get(ServiceName.Settings);
	const {heartbeatMs, leaseMs, callTimeoutMs, presenceEveryMs, forgetAfterMs} = settings.peers;
	const clock = kernel.get(ServiceName.Clock);
	const random = kernel.get(ServiceName.Random);
	const metrics = kernel.get(ServiceName.Metrics);
	const platformLog = kernel.get(ServiceName.Log);
	const control = kernel.get(ServiceName.Control);
	const identity = kernel.get(ServiceName.Identity);
	const directory = new PeersDirectory(clock, identity.processId);
	const handlers = new Map<PeerMethod, PeerHandler>();
	const tasks = new Set<string>();
	const running: Array<Promise<void>> = [];
	const aborter = new AbortController();
	const {signal} = aborter;
	let ownPresence: Presence | undefined;

	// Jitter: heartbeats of entries that started together must not stay in step.
	const jitter = (ms: number) => ms * (0.75 + (random.next() / 2));

	// A few peers, drawn anew each time, reach everybody within some heartbeats; all of them in every
	// heartbeat would grow with the square of the entries.
	const getHello = (isLeaving = false): Hello => {
		const alive = directory.list().filter(({processId}) => directory.isAlive(processId));
		const offset = random.below(Math.max(1, alive.length));
		const named = [...alive.slice(offset), ...alive.slice(0, offset)].slice(0, namedPeers);
		return {presence: ownPresence!, peers: named, isLeaving};
	};

	const learn = (presence: Presence) => {
		directory.learn(presence);
		if (presence.processId !== identity.processId && !tasks.has(presence.processId) && !signal.aborted) {
			tasks.add(presence.processId);
			running.push(followPeer(presence.processId));
		}
	};

	const takeHello = (hello: Hello) => {
		learn(hello.presence);
		for (const presence of hello.peers) {
			learn(presence);
		}

		if (hello.isLeaving) {
			directory.noteLeaving(hello.presence.processId, hello.presence.incarnation);
		}
	};

	const sayHello = async (address: string, toId: string) => {
		const sentAtMs = clock.monotonicMs();
		const answer = parseHello(await transport.call(address, {
			fromId: identity.processId, toId, method: PeerMethod.Hello, body: getHello(),
		}, callTimeoutMs));
		takeHello(answer);
		// Counted from before the call: the peer was alive then at the earliest, however late the answer is.
		directory.noteAnswer(answer.presence, sentAtMs + leaseMs);
	};

	const followPeer = async (processId: string) => {
		let pauseMs = heartbeatMs;
		while (!signal.aborted) {
			const presence = directory.get(processId);
			if (!presence) {
				break;
			}

			try {
				await sayHello(presence.peerAddress, processId);
				pauseMs = heartbeatMs;
			} catch (error) {
				metrics.count(Metric.PeerErrors, PeerMethod.Hello);
				log('No heartbeat from %s: %s', processId, getMessage(error));
				// An entry that is gone for good costs little, and a healed link is found within seconds.
				pauseMs = Math.min(pauseMs * 2, heartbeatMs * maxPauseFactor);
			}

			await clock.sleep(jitter(pauseMs), signal);
		}

		tasks.delete(processId);
	};

	const followSeed = async (address: string) => {
		while (!signal.aborted) {
			if (address !== ownPresence!.peerAddress && !directory.list().some(({peerAddress, processId}) => peerAddress === address && directory.isAlive(processId))) {
				try {
					await sayHello(address, '');
				} catch (error) {
					log('Seed %s: %s', address, getMessage(error));
				}
			}

			await clock.sleep(jitter(heartbeatMs * maxPauseFactor), signal);
		}
	};

	const appendPresence = async (isLeaving: boolean) => {
		try {
			await platformLog.append(Stream.Entries, {...ownPresence!, recordId: random.id(), isLeaving});
			metrics.count(Metric.LogAppends, Stream.Entries);
		} catch (error) {
			// Appended or not: the next one says the same, and the fold takes repeats.
			metrics.count(Metric.LogErrors, Stream.Entries);
			log('Presence not confirmed: %s', getMessage(error));
		}
	};

	const keepPresence = async () => {
		while (!signal.aborted) {
			await appendPresence(false);
			metrics.gauge(Metric.PeersAlive, directory.list().filter(({processId}) => directory.isAlive(processId)).length);
			await clock.sleep(jitter(presenceEveryMs), signal);
			for (const processId of directory.forgetOlderThan(forgetAfterMs)) {
				log('Forgot %s.', processId);
			}
		}
	};

	const followEntries = async () => followLog({
		onRecord({value}) {
			const record = parsePresenceRecord(value);
			if (record.isLeaving) {
				directory.noteLeaving(record.processId, record.incarnation);
				return;
			}

			const {recordId: _recordId, isLeaving: _isLeaving, ...presence} = record;
			learn(presence);
		},
		onBadRecord({offset}, error) {
			metrics.count(Metric.BadRecords, Stream.Entries);
			log('Bad record at offset %d: %s', offset, getMessage(error));
		},
		onUnavailable(message) {
			metrics.count(Metric.LogErrors, Stream.Entries);
			log('Cannot read the log: %s', message);
		},
	}, {
		log: platformLog, stream: Stream.Entries, clock, random, fromOffset: 0, signal,
	});

	const serve = async (request: PeerRequest): Promise<unknown> => {
		// An address can be taken over by another process: what was meant for the former must not be done by it.
		if (request.toId !== '' && request.toId !== identity.processId) {
			throw createError(ErrorCode.Refused, {step: 'serve peer', peer: request.fromId, detail: `this is ${identity.processId}`});
		}

		const handler = handlers.get(request.method);
		if (!handler) {
			throw createError(ErrorCode.NotFound, {step: 'serve peer', peer: request.fromId, detail: request.method});
		}

		return handler(request.body, request.fromId);
	};

	const sayGoodbye = async ({processId, peerAddress}: Presence) => {
		try {
			await transport.call(peerAddress, {
				fromId: identity.processId, toId: processId, method: PeerMethod.Hello, body: getHello(true),
			}, callTimeoutMs);
		} catch (error) {
			log('Goodbye to %s: %s', processId, getMessage(error));
		}
	};

	handlers.set(PeerMethod.Hello, body => {
		takeHello(parseHello(body));
		return getHello();
	});

	const service: PeersService = {
		list: () => directory.list().map(presence => ({...presence, isAlive: directory.isAlive(presence.processId)})),
		handle(method, handler) {
			handlers.set(method, handler);
		},
		async call(peerId, method, body, timeoutMs = callTimeoutMs) {
			const presence = directory.get(peerId);
			if (!presence) {
				throw createError(ErrorCode.PeerUnavailable, {step: `call ${method}`, peer: peerId, detail: 'not known'});
			}

			try {
				return await transport.call(presence.peerAddress, {
					fromId: identity.processId, toId: peerId, method, body,
				}, timeoutMs);
			} catch (error) {
				metrics.count(Metric.PeerErrors, method);
				throw error;
			}
		},
		async start() {
			const peerAddress = await transport.listen(settings.entry.peerAddress, serve);
			ownPresence = {...identity, peerAddress, controlAddress: control.getAddress()};
			running.push(followEntries(), keepPresence(), ...settings.entry.seedPeers.map(async address => followSeed(address)));
		},
		async stop() {
			aborter.abort();
			await Promise.all(directory.list().filter(({processId}) => directory.isAlive(processId)).map(async presence => sayGoodbye(presence)));
			await transport.close();
			await Promise.all(running);
			await appendPresence(true);
		},
	};

	control.addStatus('peers', () => service.list());
	return service;
};
