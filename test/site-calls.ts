/**
Calls between the processes of a simulated site on manual time, over paths that tests can interrupt.
*/
import {type Agent} from '../src/agents/agent.ts';
import {createError, ErrorCode} from '../src/core/errors.ts';
import {type Clock} from '../src/types/clock.ts';
import {type EntryClient} from '../src/types/entries.ts';
import {type OrdersReply, type WatchReply} from '../src/types/fleet.ts';
import {type JobApi} from '../src/types/job-api.ts';
import {type QueueConfig} from '../src/types/site.ts';
import {type AgentClient} from '../src/workflows/agent-links.ts';
import {createRelayTarget} from '../src/workflows/relaying-api.ts';
import {type SlowLink} from './slow-link.ts';

/** Delays of the calls between an entry and an agent; asked once for each call. */
export type PathDelays = {
	/** How long a call is on its way; the caller's timeout passes meanwhile. */
	getTransitMs: () => number;
	/** How long the entry takes to handle an answer. */
	getAnswerMs: () => number;
};

/** Processes of a simulated site, and the state of the paths between them. */
export type SitePaths = {
	clock: Clock;
	queue: QueueConfig;
	hosts: ReadonlyMap<string, {agent: Agent | undefined; clock: {isPaused: boolean; waitUntilRunning: () => Promise<void>}}>;
	entries: ReadonlyMap<string, SiteEntry>;
	/** Pairs `entry>host` or `entry>entry` between which no messages pass. */
	cuts: ReadonlySet<string>;
	/** Pairs between which calls are carried out but their answers are lost. */
	lostAnswers: ReadonlySet<string>;
	/** Entries that have not reached the store for some time. */
	storeLost: ReadonlySet<string>;
	/** Entries whose last call to the store failed. */
	storeFailing: ReadonlySet<string>;
	/** Delays of pairs `entry>host`, in addition to those of all pairs. */
	pathDelays: Map<string, PathDelays>;
	/** Links that the calls of an entry to agents pass, by entry; without one they take no time. */
	uplinks: Map<string, SlowLink>;
	/** Whether calls to a suspended agent wait in its socket until it continues, instead of being lost. */
	keepsCalls: boolean;
	/** How long an entry's thread takes to send a call to an agent. */
	getCallDelayMs: () => number;
	/** How long an entry's thread takes to handle an answer of an agent. */
	getAnswerDelayMs: (answer: AgentAnswer) => number;
};

/** An answer of an agent to an entry. */
export type AgentAnswer = {entry: string; host: string; reply: WatchReply | OrdersReply};

type SiteEntry = {jobs: JobApi; clock: {isPaused: boolean}};

const fail = async (clock: Clock, step: string, peer: string, timeoutMs: number, code = ErrorCode.PeerUnavailable): Promise<never> => {
	await clock.sleep(timeoutMs);
	throw createError(code, {step, peer});
};

/** Creates the client with which an entry calls agents. */
export const createAgentClient = (site: SitePaths, entryName: string): AgentClient => {
	const {clock, hosts, cuts, lostAnswers} = site;
	const arrive = async <Reply>(host: string, act: (agent: Agent) => Promise<Reply>, {transitMs, timeoutMs}: {transitMs: number; timeoutMs: number}): Promise<Reply> => {
		await clock.sleep(transitMs);
		const {agent, clock: agentClock} = hosts.get(host)!;
		if (!agent || cuts.has(`${entryName}>${host}`)) {
			return fail(clock, 'call agent', host, timeoutMs);
		}

		await agentClock.waitUntilRunning();
		return act(agent);
	};

	const call = async <Reply extends WatchReply | OrdersReply>(host: string, act: (agent: Agent) => Promise<Reply>, {timeoutMs, request}: {timeoutMs: number; request: unknown}): Promise<Reply> => {
		const path = `${entryName}>${host}`;
		await clock.sleep(1 + site.getCallDelayMs());
		const agent = hosts.get(host)?.agent;
		if (!agent || cuts.has(path) || (hosts.get(host)!.clock.isPaused && !site.keepsCalls)) {
			return fail(clock, 'call agent', host, timeoutMs);
		}

		const delays = site.pathDelays.get(path);
		const link = site.uplinks.get(entryName);
		const isPlain = delays === undefined && link === undefined && !site.keepsCalls;
		const transitMs = (delays?.getTransitMs() ?? 0) + (link?.send(JSON.stringify(request).length) ?? 0);
		const answer = isPlain ? act(agent) : arrive(host, act, {transitMs, timeoutMs});
		// A process that died never answers: the caller's timeout ends the call.
		const reply = structuredClone(await Promise.race([answer, fail(clock, 'call agent', host, timeoutMs)]));
		await clock.sleep(1 + site.getAnswerDelayMs({entry: entryName, host, reply}) + (delays?.getAnswerMs() ?? 0));
		return cuts.has(path) || lostAnswers.has(path) ? fail(clock, 'call agent', host, 0) : reply;
	};

	return {
		watch: async (host, request, timeoutMs, signal) => call(host, async agent => agent.watch(structuredClone(request), signal), {timeoutMs, request}),
		order: async (host, request, timeoutMs) => call(host, async agent => agent.order(structuredClone(request)), {timeoutMs, request}),
	};
};

/** Creates the client with which an entry calls other entries. */
export const createEntryClient = (site: SitePaths, entryName: string): EntryClient => {
	const {
		clock, queue, entries, cuts, lostAnswers, storeLost, storeFailing,
	} = site;
	const call = async <Reply>(address: string, act: (entry: SiteEntry) => Promise<Reply>, timeoutMs: number): Promise<Reply> => {
		await clock.sleep(1);
		const entry = entries.get(address);
		if (!entry) {
			return fail(clock, 'call entry', address, timeoutMs, ErrorCode.PeerUnreached);
		}

		if (cuts.has(`${entryName}>${address}`) || entry.clock.isPaused) {
			return fail(clock, 'call entry', address, timeoutMs);
		}

		const reply = await Promise.race([act(entry), fail(clock, 'call entry', address, timeoutMs)]);
		return lostAnswers.has(`${entryName}>${address}`) ? fail(clock, 'call entry', address, timeoutMs) : reply;
	};

	const ask = async <Reply>(address: string, act: (target: ReturnType<typeof createRelayTarget>) => Promise<Reply>, timeoutMs: number): Promise<Reply> =>
		call(address, async ({jobs}) => act(createRelayTarget(jobs, () => storeLost.has(address) || storeFailing.has(address))), timeoutMs);
	return {
		submit: async (address, {id, spec}, timeoutMs) => ask(address, async target => target.submit(queue, id, spec, timeoutMs), timeoutMs),
		getState: async (address, {id}, timeoutMs) => ask(address, async target => target.getState(queue, id, timeoutMs), timeoutMs),
		cancel: async (address, {id}, timeoutMs) => ask(address, async target => target.cancel(queue, id, timeoutMs), timeoutMs),
		countPending: async (address, _, timeoutMs) => ask(address, async target => target.countPending(queue, timeoutMs), timeoutMs),
	};
};
