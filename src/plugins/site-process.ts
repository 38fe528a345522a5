/**
What both roles on a site share: settings, log, metrics, and an end in good order.
*/
import process from 'node:process';
import {type Clock} from '../types/clock.ts';
import {type SiteSettings} from '../types/site.ts';
import {createAborter} from '../utils/aborter.ts';
import {createEventLog, type Note} from '../utils/event-log.ts';
import {createStreamClient, type StreamClient} from '../utils/call-stream-client.ts';
import {createHttpClient, type HttpClient} from '../utils/http-calls.ts';
import {close, listen} from '../utils/http-server.ts';
import {createMetricsPage, type MetricsPage} from '../utils/metrics-page.ts';
import {ProcessLoad} from '../utils/process-load.ts';
import {createSystemClock} from '../utils/system-clock.ts';
import {Turns} from '../utils/turns.ts';

/** Parts of a process on a site. */
export type SiteProcess = {
	site: SiteSettings;
	clock: Clock;
	http: HttpClient;
	/** Calls to the program's processes on other hosts. */
	streams: StreamClient;
	metrics: MetricsPage;
	/** Writes a line of log and counts the event. */
	note: Note;
	/** How far the process is behind. */
	load: ProcessLoad;
	/** Port for calls between the program's processes. */
	internalAddress: string;
	/** Where metrics are served, and whether the process lives. */
	metricsAddress: string;
	/** Aborts when the process ends. */
	signal: AbortSignal;
	/** New with each start of the process. */
	life: string;
};

/** Connections to one peer: a few calls wait for news, the others answer at once. */
const maxConnections = 16;
const endSlackMs = 300;

/**
Runs a role until it is told to stop. `start` resolves to what is done first at the end; it may take until shortly
before the platform kills the process.
*/
export const runSiteProcess = async (
	role: string,
	site: SiteSettings,
	start: (parts: SiteProcess) => Promise<() => Promise<void>>,
): Promise<void> => {
	const clock = createSystemClock();
	const log = createEventLog(clock, {role, process: site.hostName});
	const metrics = createMetricsPage();
	const aborter = createAborter();
	const life = `${clock.now().getTime().toString(36)}-${process.pid}`;
	const note: Note = (event, fields = {}) => {
		metrics.count(event, typeof fields.reason === 'string' ? fields.reason : (fields.refusal as string | undefined) ?? (fields.end as string | undefined));
		log.note(event, fields);
	};

	process.on('uncaughtException', error => {
		log.note('unexpected error', {error: error.message, stack: error.stack});
		log.flush();
		process.exit(1);
	});
	process.on('SIGHUP', () => {
		// Addresses and bounds of a site do not change within the life of a process; the line tells that it was heard.
		note('settings changed', {reason: 'SIGHUP'});
	});
	const stopped = new Promise<void>(resolve => {
		process.on('SIGTERM', resolve);
		process.on('SIGINT', resolve);
	});
	const [internalPort, metricsPort] = site.internalPorts;
	const metricsAddress = `${site.ip}:${metricsPort}`;
	await listen(metrics.server, metricsAddress);
	const turns = new Turns();
	const http = createHttpClient(maxConnections, turns);
	note('started', {
		life, ip: site.ip, failureDomain: site.failureDomain, startupMs: Math.round(process.uptime() * 1000),
	});
	const load = new ProcessLoad(clock, note);
	void load.watch(aborter.signal);
	const finish = await start({
		site, clock, http, streams: createStreamClient(http, turns), metrics, note, load, life, metricsAddress, internalAddress: `${site.ip}:${internalPort}`, signal: aborter.signal,
	});
	await stopped;
	note('stopping');
	await Promise.race([finish(), clock.sleep(site.bounds.graceMs - endSlackMs)]);
	aborter.abort();
	note('stopped');
	await Promise.race([close(metrics.server), clock.sleep(endSlackMs / 3)]);
	log.flush();
	process.exit(0); // eslint-disable-line unicorn/no-process-exit
};
