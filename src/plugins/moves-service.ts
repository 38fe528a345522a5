/**
Moves services between regions as the text declares: an entry of the new region takes a service over
once its dependencies have moved and its upstreams there are warm.
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
import {createLogger, Part} from '../utils/logger.ts';

const log = createLogger(Part.Moves);
/** Configuration read longer ago is too old to act on. */
const freshMs = 3000;

/** When this process first saw the owner of a service. */
type Seen = {
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
	const seen = new Map<string, Seen>();
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
		if (!config.isFresh(freshMs)) {
			return 'the log has not been read';
		}

		const obstacle = findMoveObstacle(move, {get: service => config.getOwner(service)}, config.getSections());
		return obstacle ?? (isWarm(move.service) ? undefined : 'its upstreams here are not warm');
	};

	const consider = async ({name, values}: ConfigSection) => {
		const parsed = parseSectionName(name);
		const owner = parsed && config.getOwner(parsed.name);
		if (owner) {
			getSeenAtMs(owner);
		}

		if (!owner || parsed.kind !== SectionKind.Service || values?.region !== region || owner.region === region) {
			return;
		}

		const move: ConfigMove = {
			type: ConfigRecordType.Move, id: random.id(), service: parsed.name, region, baseOffset: owner.offset, entryId: processId,
		};
		const obstacle = findObstacle(move);
		if (obstacle !== undefined) {
			note(parsed.name, obstacle);
			return;
		}

		blocked.delete(parsed.name);
		await kernel.get(ServiceName.Log).append(Stream.Config, move, aborter.signal);
		metrics.count(Metric.Moves);
		log('Taking %s over from %s.', parsed.name, owner.region);
	};

	const getSeenAtMs = ({service, offset}: ServiceOwner): number => {
		const known = seen.get(service);
		if (known?.offset === offset) {
			return known.atMs;
		}

		const atMs = clock.monotonicMs();
		seen.set(service, {offset, atMs});
		return atMs;
	};

	const note = (service: string, obstacle: string) => {
		if (blocked.get(service) !== obstacle) {
			blocked.set(service, obstacle);
			metrics.count(Metric.MovesBlocked);
			log('%s does not move yet: %s.', service, obstacle);
		}
	};

	const run = async () => {
		while (!aborter.signal.aborted) {
			await clock.sleep(settings.checkEveryMs * (0.5 + random.next()), aborter.signal);
			for (const section of config.getSections().values()) {
				try {
					await consider(section);
				} catch (error) {
					log('%s was not moved: %s', section.name, getMessage(error));
				}
			}
		}
	};

	kernel.get(ServiceName.Control).addStatus('moves', () => ({blocked: Object.fromEntries(blocked)}));

	return {
		getRegion: service => config.getOwner(service)?.region,
		// The old side may learn of the move a little later than this one; until then it could still start a
		// non-idempotent request. Waiting out that time leaves one side at each moment.
		isSettled(service) {
			const owner = config.getOwner(service);
			return owner?.previousRegion === undefined || clock.monotonicMs() - getSeenAtMs(owner) >= settings.settleMs;
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
