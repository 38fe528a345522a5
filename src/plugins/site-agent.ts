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

/** Runs the role until it is told to stop. */
export const runSiteAgent = async (site: SiteSettings): Promise<void> => runSiteProcess('agent', site, async ({
	clock, http, note, life, internalAddress, signal,
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
	const announcements = createAnnounceServer(clock, {
		onReport(report) {
			agent.announce(report);
		},
		onLeave(workerId) {
			agent.workerLeft(workerId);
		},
		onInvalid(reason) {
			note('announcement not valid', {reason});
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
