/**
Maintains the active configuration: replays its stream, writes snapshots before records expire, and gets the configuration from
peers while the log is unavailable.
*/
import {ConfigFold} from '../core/config-fold.ts';
import {parseConfigSnapshot} from '../core/config-records.ts';
import {getMessage} from '../core/errors.ts';
import {type Kernel} from '../core/kernel.ts';
import {followLog} from '../core/log-reader.ts';
import {ConfigRecordType, ConfigVerdict} from '../types/config.ts';
import {Metric} from '../types/metrics.ts';
import {Stream, type LogPage, type LogRecord} from '../types/platform.ts';
import {PeerMethod, ServiceName, type ConfigService} from '../types/services.ts';
import {createLogger, LogNamespace} from '../utils/logger.ts';

const log = createLogger(LogNamespace.Config);

/** Summary that two entries exchange to compare their configurations. */
type ConfigSummary = {
	offset: number;
	digest: string;
	isComplete: boolean;
};

/** Creates the configuration service. */
export const createConfigService = (kernel: Kernel): ConfigService => {
	const clock = kernel.get(ServiceName.Clock);
	const random = kernel.get(ServiceName.Random);
	const metrics = kernel.get(ServiceName.Metrics);
	const control = kernel.get(ServiceName.Control);
	const platformLog = kernel.get(ServiceName.Log);
	const settings = kernel.get(ServiceName.Settings).config;
	const fold = new ConfigFold();
	const aborter = new AbortController();
	const tasks: Array<Promise<void>> = [];
	let isCurrent = false;
	let caughtUpAtMs = Number.NEGATIVE_INFINITY;
	let snapshotSeenAtMs = clock.monotonicMs();
	let recordsSinceSnapshot = 0;

	const applyRecord = (record: LogRecord) => {
		recordsSinceSnapshot++;
		if ((record.value as {type?: string} | undefined)?.type === ConfigRecordType.Snapshot) {
			snapshotSeenAtMs = clock.monotonicMs();
			recordsSinceSnapshot = 0;
		}

		fold.apply(record);
		reportRejection(record.offset);
		metrics.gauge(Metric.ConfigOffset, fold.offset);
	};

	const reportRejection = (offset: number) => {
		const result = fold.getLastResult();
		if (result?.offset === offset && result.verdict !== ConfigVerdict.Accepted) {
			metrics.count(Metric.ConfigRejected, result.verdict);
			log('Configuration change %s by %s rejected: %s', result.id, result.author, result.reason);
		}
	};

	const handlePage = ({endOffset}: LogPage) => {
		if (fold.nextOffset >= endOffset) {
			caughtUpAtMs = clock.monotonicMs();
			isCurrent ||= fold.isComplete;
		}
	};

	const follow = async () => followLog({
		onRecord: applyRecord,
		onPage: handlePage,
		onGap(_fromOffset, oldestOffset) {
			log('Configuration records before offset %d have expired.', oldestOffset);
			fold.markGap(oldestOffset);
		},
		onBadRecord(record, error) {
			metrics.count(Metric.BadRecords, Stream.Config);
			log('Bad record at offset %d: %s', record.offset, getMessage(error));
		},
		onUnavailable(message) {
			metrics.count(Metric.LogErrors, Stream.Config);
			log('Read of the configuration failed: %s', message);
		},
	}, {
		log: platformLog, stream: Stream.Config, clock, random, fromOffset: 0, signal: aborter.signal,
	});

	const isSnapshotDue = () => fold.isComplete && recordsSinceSnapshot > 0 && (
		recordsSinceSnapshot >= settings.snapshotEveryRecords || clock.monotonicMs() - snapshotSeenAtMs >= settings.snapshotEveryMs
	);

	const keepSnapshots = async () => {
		while (!aborter.signal.aborted) {
			// With jitter, the first entry to wake writes the snapshot, and the others read it and skip theirs.
			await clock.sleep((settings.snapshotEveryMs / 20) * (0.5 + random.next()), aborter.signal);
			if (aborter.signal.aborted || !isSnapshotDue()) {
				continue;
			}

			try {
				await platformLog.append(Stream.Config, fold.createSnapshot(random.id()), aborter.signal);
				metrics.count(Metric.ConfigSnapshots);
			} catch (error) {
				log('Write of the configuration snapshot failed: %s', getMessage(error));
			}
		}
	};

	const getSummary = (): ConfigSummary => ({offset: fold.offset, digest: fold.getDigest(), isComplete: fold.isComplete});

	const comparePeer = async (peerId: string) => {
		const reply = await kernel.get(ServiceName.Peers).call(peerId, PeerMethod.Config, getSummary()) as {hello: ConfigSummary; snapshot?: unknown};
		if (reply.snapshot !== undefined && fold.restore(parseConfigSnapshot(reply.snapshot))) {
			isCurrent = true;
			metrics.count(Metric.ConfigFromPeer);
			log('Restored the configuration up to offset %d from peer %s.', fold.offset, peerId);
		}

		if (reply.hello.isComplete && fold.isComplete && reply.hello.offset === fold.offset && reply.hello.digest !== fold.getDigest()) {
			metrics.count(Metric.ConfigDiverged);
			log('Configuration of peer %s differs from this one at offset %d.', peerId, fold.offset);
		}
	};

	const answerPeer = (body: unknown) => {
		const {offset} = body as ConfigSummary;
		const isAhead = fold.isComplete && fold.offset > offset;
		return {hello: getSummary(), snapshot: isAhead ? fold.createSnapshot('peer') : undefined};
	};

	const comparePeers = async () => {
		const peers = kernel.get(ServiceName.Peers);
		while (!aborter.signal.aborted) {
			await clock.sleep(settings.peerEveryMs * (0.5 + random.next()), aborter.signal);
			const alive = peers.list().filter(({isAlive}) => isAlive);
			const peer = alive[random.below(alive.length)];
			if (!peer || aborter.signal.aborted) {
				continue;
			}

			try {
				await comparePeer(peer.processId);
			} catch (error) {
				log('Comparison of the configuration with peer %s failed: %s', peer.processId, getMessage(error));
			}
		}
	};

	control.addReadiness('config', () => isCurrent);
	control.addStatus('config', () => ({...getSummary(), owners: fold.owners.list()}));
	control.route('GET', '/v1/config', () => ({
		body: {...getSummary(), sections: [...fold.sections.values()], owners: fold.owners.list()},
	}));
	control.route('GET', '/v1/config/history', () => ({body: {results: fold.getResults()}}));

	return {
		isReady: () => isCurrent,
		isFresh: withinMs => clock.monotonicMs() - caughtUpAtMs <= withinMs,
		getOffset: () => fold.offset,
		getSection: name => fold.sections.get(name),
		getSections: () => new Map(fold.sections),
		getOwner: serviceName => fold.owners.get(serviceName),
		getHistory: () => fold.getResults(),
		async start() {
			tasks.push(follow(), keepSnapshots(), comparePeers());
			kernel.get(ServiceName.Peers).handle(PeerMethod.Config, answerPeer);
		},
		async stop() {
			aborter.abort();
			await Promise.all(tasks);
		},
	};
};
