/**
The role beside a worker: puts an agent together from the site's settings.
*/
import {Agent} from '../agents/agent.ts';
import {leaseHorizonMs} from '../agents/lease-clock.ts';
import {createError, ErrorCode} from '../core/errors.ts';
import {getPartition} from '../core/partitions.ts';
import {createAnnounceServer} from '../platform/announce-server.ts';
import {createStoreClient} from '../platform/store-calls.ts';
import {createWorkerClient} from '../platform/worker-calls.ts';
import {type SiteSettings} from '../types/site.ts';
import {createJsonServer, close, listen} from '../utils/http-server.ts';
import {serveAgent} from './agent-messages.ts';
import {runSiteProcess} from './site-process.ts';

const maxWriters = 100;

/** Tells of each writer of something that cannot be read once: a worker announces itself every second. */
class InvalidWriters {
	readonly #writers = new Set<string>();
	readonly #onFirst: (writer: string, reason: string) => void;

	constructor(onFirst: (writer: string, reason: string) => void) {
		this.#onFirst = onFirst;
	}

	note(writer: string, reason: string): void {
		if (!this.#writers.has(writer) && this.#writers.size < maxWriters) {
			this.#writers.add(writer);
			this.#onFirst(writer, reason);
		}
	}
}

/** Runs the role until it is told to stop. */
export const runSiteAgent = async (site: SiteSettings): Promise<void> => runSiteProcess('agent', site, async ({
	clock, http, note, metrics, life, internalAddress, signal,
}) => {
	const {announceAddress, workerAddress, workerService} = site;
	if (announceAddress === undefined || workerAddress === undefined || workerService === undefined) {
		throw createError(ErrorCode.BadSettings, {step: 'start agent', detail: 'the settings name no worker'});
	}

	const agent = new Agent({
		registration: {
			host: site.hostName, address: internalAddress, service: workerService, failureDomain: site.failureDomain,
		},
		partition: getPartition(workerService, site.store.partitions),
		store: createStoreClient(http, site.store.address),
		client: createWorkerClient(http, workerAddress),
		clock,
		life,
		leaseHorizonMs,
		maxLeaseMs: site.bounds.maxLeaseMs,
		note,
	});
	const invalid = new InvalidWriters((writer, reason) => {
		note('announcement not valid', {writer, reason});
	});
	const announcements = createAnnounceServer(clock, {
		onReport(report) {
			if (report.service === workerService) {
				agent.announce(report);
			} else {
				metrics.count('announcement not valid', 'service');
				invalid.note(report.workerId, `service ${report.service}`);
			}
		},
		onLeave(workerId) {
			agent.workerLeft(workerId);
		},
		onInvalid(writer, reason) {
			metrics.count('announcement not valid', 'unreadable');
			invalid.note(writer, reason);
		},
	});
	const server = createJsonServer(clock);
	serveAgent(server, agent);
	await listen(announcements, announceAddress);
	await server.listen(internalAddress);
	void agent.run(signal);
	return async () => {
		await Promise.all([agent.leave(), close(announcements), server.close()]);
	};
});
