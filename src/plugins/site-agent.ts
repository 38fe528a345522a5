/**
The agent role, on the host of a worker: creates an agent from the site's settings.
*/
import {Agent} from '../agents/agent.ts';
import {leaseDurationMs} from '../agents/worker-lease.ts';
import {createError, ErrorCode} from '../core/errors.ts';
import {getPartition} from '../core/partitions.ts';
import {createAnnounceServer} from '../platform/announce-server.ts';
import {createStoreClient} from '../platform/store-calls.ts';
import {createWorkerClient} from '../platform/worker-calls.ts';
import {type SiteSettings} from '../types/site.ts';
import {createJsonServer, close, listen} from '../utils/http-server.ts';
import {OnceReporter} from '../utils/once-reporter.ts';
import {serveAgent} from './agent-messages.ts';
import {runSiteProcess} from './site-process.ts';

/** Runs the role until SIGTERM or SIGINT. */
export const runSiteAgent = async (site: SiteSettings): Promise<void> => runSiteProcess('agent', site, async ({
	clock, http, note, metrics, incarnation, internalAddress, signal,
}) => {
	const {announceAddress, workerAddress, workerService} = site;
	if (announceAddress === undefined || workerAddress === undefined || workerService === undefined) {
		throw createError(ErrorCode.BadSettings, {step: 'start agent', detail: 'the site settings lack the address for announcements, the address of the worker or the service of the worker'});
	}

	const agent = new Agent({
		registration: {
			host: site.hostName, address: internalAddress, service: workerService, failureDomain: site.failureDomain,
		},
		partition: getPartition(workerService, site.store.partitions),
		store: createStoreClient(http, site.store.address),
		client: createWorkerClient(http, workerAddress),
		clock,
		life: incarnation,
		leaseDurationMs,
		maxLeaseMs: site.bounds.maxLeaseMs,
		note,
	});
	const invalid = new OnceReporter((writer, reason) => {
		note('announcement not valid', {writer, reason});
	});
	const announcements = createAnnounceServer(clock, {
		onReport(report) {
			if (report.service === workerService) {
				agent.handleAnnouncement(report);
			} else {
				metrics.count('announcement not valid', 'service');
				invalid.reportOnce(report.workerId, `service ${report.service}`);
			}
		},
		onLeave(workerId) {
			agent.handleWorkerLeave(workerId);
		},
		onInvalid(writer, reason) {
			metrics.count('announcement not valid', 'unreadable');
			invalid.reportOnce(writer, reason);
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
