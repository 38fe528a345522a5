/**
Membership of entries and calls between them. An entry discovers others through the log, seeds and other entries, and sends
heartbeats to each of them in a task of its own.
*/
import {createError, ErrorCode, getMessage} from '../core/errors.ts';
import {type Kernel} from '../core/kernel.ts';
import {followLog} from '../core/log-reader.ts';
import {Metric} from '../types/metrics.ts';
import {Stream} from '../types/platform.ts';
import {
	PeerMethod, ServiceName, type PeerHandler, type PeersService,
} from '../types/services.ts';
import {createLogger, LogNamespace} from '../utils/logger.ts';
import {
	parseHello, parsePresenceRecord, PeersDirectory, type Hello, type Presence,
} from './peers-directory.ts';
import {createGrpcTransport, type PeerRequest, type PeerTransport} from './peers-transport.ts';

const log = createLogger(LogNamespace.Peers);
const peersPerHello = 3;
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
	const peersWithTask = new Set<string>();
	const running: Array<Promise<void>> = [];
	const aborter = new AbortController();
	const {signal} = aborter;
	let ownPresence: Presence | undefined;

	// Jitter keeps entries that started together from sending their heartbeats at the same time.
	const jitter = (ms: number) => ms * (0.75 + (random.next() / 2));

	// Naming a few random peers in each heartbeat lets all entries discover each other within some heartbeats. Naming all peers
	// every time would make the traffic grow with the square of the number of entries.
	const createHello = (isLeaving = false): Hello => {
		const alive = directory.list().filter(({processId}) => directory.isAlive(processId));
		const offset = random.below(Math.max(1, alive.length));
		const named = [...alive.slice(offset), ...alive.slice(0, offset)].slice(0, peersPerHello);
		return {presence: ownPresence!, peers: named, isLeaving};
	};

	const addPeer = (presence: Presence) => {
		directory.add(presence);
		if (presence.processId !== identity.processId && !peersWithTask.has(presence.processId) && !signal.aborted) {
			peersWithTask.add(presence.processId);
			running.push(heartbeatPeer(presence.processId));
		}
	};

	const handleHello = (hello: Hello) => {
		addPeer(hello.presence);
		for (const presence of hello.peers) {
			addPeer(presence);
		}

		if (hello.isLeaving) {
			directory.markLeft(hello.presence.processId, hello.presence.incarnation);
		}
	};

	const sendHello = async (address: string, toId: string) => {
		const sentAtMs = clock.monotonicMs();
		const answer = parseHello(await transport.call(address, {
			fromId: identity.processId, toId, method: PeerMethod.Hello, body: createHello(),
		}, callTimeoutMs));
		handleHello(answer);
		// Counted from the send time: a late answer proves only that the peer was alive at some time after that.
		directory.extendLease(answer.presence, sentAtMs + leaseMs);
	};

	const heartbeatPeer = async (processId: string) => {
		let pauseMs = heartbeatMs;
		while (!signal.aborted) {
			const presence = directory.get(processId);
			if (!presence) {
				break;
			}

			try {
				await sendHello(presence.peerAddress, processId);
				pauseMs = heartbeatMs;
			} catch (error) {
				metrics.count(Metric.PeerErrors, PeerMethod.Hello);
				log('Heartbeat to %s failed: %s', processId, getMessage(error));
				// Backing off keeps the cost of a removed entry low; its limit lets a restored link be detected within seconds.
				pauseMs = Math.min(pauseMs * 2, heartbeatMs * maxPauseFactor);
			}

			await clock.sleep(jitter(pauseMs), signal);
		}

		peersWithTask.delete(processId);
	};

	const contactSeed = async (address: string) => {
		while (!signal.aborted) {
			if (address !== ownPresence!.peerAddress && !directory.list().some(({peerAddress, processId}) => peerAddress === address && directory.isAlive(processId))) {
				try {
					await sendHello(address, '');
				} catch (error) {
					log('Hello to seed %s failed: %s', address, getMessage(error));
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
			// The record may have been appended nevertheless; the next one repeats it, and readers accept duplicates.
			metrics.count(Metric.LogErrors, Stream.Entries);
			log('Append of the presence record was not confirmed: %s', getMessage(error));
		}
	};

	const keepPresence = async () => {
		while (!signal.aborted) {
			await appendPresence(false);
			metrics.gauge(Metric.PeersAlive, directory.list().filter(({processId}) => directory.isAlive(processId)).length);
			await clock.sleep(jitter(presenceEveryMs), signal);
			for (const processId of directory.forgetOlderThan(forgetAfterMs)) {
				log('Removed entry %s after a long time without contact.', processId);
			}
		}
	};

	const followEntries = async () => followLog({
		onRecord({value}) {
			const record = parsePresenceRecord(value);
			if (record.isLeaving) {
				directory.markLeft(record.processId, record.incarnation);
				return;
			}

			const {recordId: _recordId, isLeaving: _isLeaving, ...presence} = record;
			addPeer(presence);
		},
		onBadRecord({offset}, error) {
			metrics.count(Metric.BadRecords, Stream.Entries);
			log('Bad record at offset %d: %s', offset, getMessage(error));
		},
		onUnavailable(message) {
			metrics.count(Metric.LogErrors, Stream.Entries);
			log('Read of the presence records failed: %s', message);
		},
	}, {
		log: platformLog, stream: Stream.Entries, clock, random, fromOffset: 0, signal,
	});

	const serve = async (request: PeerRequest): Promise<unknown> => {
		// Another process may have taken over the address; it must not execute calls meant for the previous one.
		if (request.toId !== '' && request.toId !== identity.processId) {
			throw createError(ErrorCode.Refused, {step: 'serve peer', peer: request.fromId, detail: `the call is meant for another process; this one is ${identity.processId}`});
		}

		const handler = handlers.get(request.method);
		if (!handler) {
			throw createError(ErrorCode.NotFound, {step: 'serve peer', peer: request.fromId, detail: request.method});
		}

		return handler(request.body, request.fromId);
	};

	const sendLeaving = async ({processId, peerAddress}: Presence) => {
		try {
			await transport.call(peerAddress, {
				fromId: identity.processId, toId: processId, method: PeerMethod.Hello, body: createHello(true),
			}, callTimeoutMs);
		} catch (error) {
			log('Leave notice to %s failed: %s', processId, getMessage(error));
		}
	};

	handlers.set(PeerMethod.Hello, body => {
		handleHello(parseHello(body));
		return createHello();
	});

	const service: PeersService = {
		list: () => directory.list().map(presence => ({...presence, isAlive: directory.isAlive(presence.processId)})),
		handle(method, handler) {
			handlers.set(method, handler);
		},
		async call(peerId, method, body, timeoutMs = callTimeoutMs) {
			const presence = directory.get(peerId);
			if (!presence) {
				throw createError(ErrorCode.PeerUnavailable, {step: `call ${method}`, peer: peerId, detail: 'no entry with this id is known'});
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
			running.push(followEntries(), keepPresence(), ...settings.entry.seedPeers.map(async address => contactSeed(address)));
		},
		async stop() {
			aborter.abort();
			await Promise.all(directory.list().filter(({processId}) => directory.isAlive(processId)).map(async presence => sendLeaving(presence)));
			await transport.close();
			await Promise.all(running);
			await appendPresence(true);
		},
	};

	control.addStatus('peers', () => service.list());
	return service;
};
