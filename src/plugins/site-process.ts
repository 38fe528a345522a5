/**
Process set-up that both roles of a site share: settings, log, metrics and graceful shutdown.
*/
import process from 'node:process';
import {type Clock} from '../types/clock.ts';
import {type SiteSettings} from '../types/site.ts';
import {createAborter} from '../utils/aborter.ts';
import {createEventLog, type LogEvent} from '../utils/event-log.ts';
import {createStreamClient, type StreamClient} from '../utils/call-stream-client.ts';
import {createHttpClient, type HttpClient} from '../utils/keep-alive-client.ts';
import {LinkMeter} from '../utils/link-meter.ts';
import {close, listen} from '../utils/http-server.ts';
import {createMetricsPage, type MetricsPage} from '../utils/metrics-page.ts';
import {ProcessLoad} from '../utils/process-load.ts';
import {createSystemClock} from '../utils/system-clock.ts';
import {TurnScheduler} from '../utils/turn-scheduler.ts';

/** What a role gets from its process. */
export type SiteProcess = {
	site: SiteSettings;
	clock: Clock;
	http: HttpClient;
	/** Calls to the processes of this program on other hosts. */
	streams: StreamClient;
	metrics: MetricsPage;
	/** Writes a log line and counts the event in the metrics. */
	note: LogEvent;
	/** How late the process runs its timers. */
	load: ProcessLoad;
	/** How much of the host's link its calls use. */
	link: LinkMeter;
	/** Address for calls between the processes of this program. */
	internalAddress: string;
	/** Address of the metrics page and the liveness check. */
	metricsAddress: string;
	/** Aborts when the process ends. */
	signal: AbortSignal;
	/** Unique for each start of the process. */
	incarnation: string;
};

/** Connections to one peer: a few calls are long polls, the others return at once. */
const maxConnections = 16;
const shutdownSlackMs = 300;

/**
Runs a role until SIGTERM or SIGINT. `start` resolves to the function that runs first at shutdown; it may take until shortly
before the platform kills the process.
*/
export const runSiteProcess = async (
	role: string,
	site: SiteSettings,
	start: (parts: SiteProcess) => Promise<() => Promise<void>>,
): Promise<void> => {
	const clock = createSystemClock();
	const log = createEventLog(clock, {role, process: site.hostName});
	const incarnation = `${clock.now().getTime().toString(36)}-${process.pid}`;
	const metrics = createMetricsPage(incarnation);
	const aborter = createAborter();
	const note: LogEvent = (event, fields = {}) => {
		metrics.count(event, typeof fields.reason === 'string' ? fields.reason : (fields.refusal as string | undefined) ?? (fields.end as string | undefined));
		log.note(event, fields);
	};

	process.on('uncaughtException', error => {
		log.note('unexpected error', {error: error.message, stack: error.stack});
		log.flush();
		process.exit(1);
	});
	process.on('SIGHUP', () => {
		// Addresses and bounds of a site do not change while a process runs; the line only confirms that SIGHUP was received.
		note('settings changed', {reason: 'SIGHUP'});
	});
	const stopped = new Promise<void>(resolve => {
		process.on('SIGTERM', resolve);
		process.on('SIGINT', resolve);
	});
	const [internalPort, metricsPort] = site.internalPorts;
	const metricsAddress = `${site.ip}:${metricsPort}`;
	await listen(metrics.server, metricsAddress);
	const turnScheduler = new TurnScheduler();
	const link = new LinkMeter(clock, site.linkMbps);
	const countBytes = (sentBytes: number, receivedBytes: number) => {
		link.count(sentBytes, receivedBytes);
	};

	const http = createHttpClient(maxConnections, turnScheduler, countBytes);
	note('started', {
		life: incarnation, ip: site.ip, failureDomain: site.failureDomain, startupMs: Math.round(process.uptime() * 1000),
	});
	const load = new ProcessLoad(clock, note);
	void load.watch(aborter.signal);
	const shutDown = await start({
		site,
		clock,
		http,
		streams: createStreamClient(http, turnScheduler, countBytes),
		metrics,
		note,
		load,
		link,
		incarnation,
		metricsAddress,
		internalAddress: `${site.ip}:${internalPort}`,
		signal: aborter.signal,
	});
	await stopped;
	note('stopping');
	await Promise.race([shutDown(), clock.sleep(site.bounds.graceMs - shutdownSlackMs)]);
	aborter.abort();
	note('stopped');
	await Promise.race([close(metrics.server), clock.sleep(shutdownSlackMs / 3)]);
	log.flush();
	process.exit(0); // eslint-disable-line unicorn/no-process-exit
};
