/**
Moves services between regions as the configuration declares: an entry of the new region takes over a service once its
dependencies have moved and the new region has had `warmUpstreams` upstreams of it for `warmMs`.
*/
import {SectionKind, parseSectionName} from '../core/config-text.ts';
import {getMessage} from '../core/errors.ts';
import {type Kernel} from '../core/kernel.ts';
import {findMoveObstacle} from '../core/service-owners.ts';
import {
	ConfigRecordType, type ConfigMove, type ConfigSection, type ServiceOwner,
} from '../types/config.ts';
import {Metric} from '../types/metrics.ts';
import {Stream} from '../types/platform.ts';
import {ServiceName, type MovesService} from '../types/services.ts';
import {createLogger, LogNamespace} from '../utils/logger.ts';

const log = createLogger(LogNamespace.Moves);
/** Moves nothing if the configuration was last read to its end longer ago. */
const maxConfigAgeMs = 3000;

/** The record that set the owner of a service, and when this process first saw it. */
type OwnerSeen = {
	offset: number;
	atMs: number;
};

/** Creates the service that moves services. */
export const createMovesService = (kernel: Kernel): MovesService => {
	const clock = kernel.get(ServiceName.Clock);
	const random = kernel.get(ServiceName.Random);
	const config = kernel.get(ServiceName.Config);
	const metrics = kernel.get(ServiceName.Metrics);
	const settings = kernel.get(ServiceName.Settings).moves;
	const {region, processId} = kernel.get(ServiceName.Identity);
	const ownersSeen = new Map<string, OwnerSeen>();
	const warmSince = new Map<string, number>();
	const blocked = new Map<string, string>();
	const aborter = new AbortController();
	let running: Promise<void> | undefined;

	const isWarm = (service: string): boolean => {
		const nowMs = clock.monotonicMs();
		const count = kernel.get(ServiceName.Upstreams).getRoutable(service).filter(upstream => upstream.region === region).length;
		if (count < settings.warmUpstreams) {
			warmSince.delete(service);
			return false;
		}

		const sinceMs = warmSince.get(service) ?? nowMs;
		warmSince.set(service, sinceMs);
		return nowMs - sinceMs >= settings.warmMs;
	};

	const findObstacle = (move: ConfigMove): string | undefined => {
		if (!config.isFresh(maxConfigAgeMs)) {
			return 'the log has not been read';
		}

		const obstacle = findMoveObstacle(move, {get: service => config.getOwner(service)}, config.getSections());
		return obstacle ?? (isWarm(move.service) ? undefined : 'its upstreams here are not warm');
	};

	const moveIfReady = async ({name, values}: ConfigSection) => {
		const parsed = parseSectionName(name);
		const owner = parsed && config.getOwner(parsed.name);
		if (owner) {
			getOwnerSeenAtMs(owner);
		}

		if (!owner || parsed.kind !== SectionKind.Service || values?.region !== region || owner.region === region) {
			return;
		}

		const move: ConfigMove = {
			type: ConfigRecordType.Move, id: random.id(), service: parsed.name, region, baseOffset: owner.offset, entryId: processId,
		};
		const obstacle = findObstacle(move);
		if (obstacle !== undefined) {
			reportBlocked(parsed.name, obstacle);
			return;
		}

		blocked.delete(parsed.name);
		await kernel.get(ServiceName.Log).append(Stream.Config, move, aborter.signal);
		metrics.count(Metric.Moves);
		log('Taking over service %s from region %s.', parsed.name, owner.region);
	};

	const getOwnerSeenAtMs = ({service, offset}: ServiceOwner): number => {
		const known = ownersSeen.get(service);
		if (known?.offset === offset) {
			return known.atMs;
		}

		const atMs = clock.monotonicMs();
		ownersSeen.set(service, {offset, atMs});
		return atMs;
	};

	const reportBlocked = (service: string, obstacle: string) => {
		if (blocked.get(service) !== obstacle) {
			blocked.set(service, obstacle);
			metrics.count(Metric.MovesBlocked);
			log('Service %s does not move yet: %s.', service, obstacle);
		}
	};

	const run = async () => {
		while (!aborter.signal.aborted) {
			await clock.sleep(settings.checkEveryMs * (0.5 + random.next()), aborter.signal);
			for (const section of config.getSections().values()) {
				try {
					await moveIfReady(section);
				} catch (error) {
					log('Move of [%s] failed: %s', section.name, getMessage(error));
				}
			}
		}
	};

	kernel.get(ServiceName.Control).addStatus('moves', () => ({blocked: Object.fromEntries(blocked)}));

	return {
		getRegion: service => config.getOwner(service)?.region,
		// The old region may read of the move a little later than this one and could until then still start a non-idempotent
		// request. Waiting for `settleMs` ensures that only one region starts them at any time.
		isMoveSettled(service) {
			const owner = config.getOwner(service);
			return owner?.previousRegion === undefined || clock.monotonicMs() - getOwnerSeenAtMs(owner) >= settings.settleMs;
		},
		async start() {
			running = run();
		},
		async stop() {
			aborter.abort();
			await running;
		},
	};
};
