/**
Decides whether an entry forwards work of its callers, to which entry, and whether it may withdraw its readiness. Answers the load
of a site whose entries differ by a multiple in processor and link, with most callers of a failure domain at small ones.
*/
import {type EntryLoad, type EntryRegistration} from '../types/entries.ts';
import {type Random} from '../types/random.ts';

/** What an entry knows of another one. */
export type KnownEntry = {
	registration: EntryRegistration;
	/** Its load as last reported, and when that was read; undefined: never. */
	load?: EntryLoad;
	loadReadAtMs: number;
	/** Nothing is forwarded to it before this, since a call to it has failed. */
	skippedUntilMs: number;
	/** Calls forwarded to it that it has not answered. */
	openCalls: number;
};

/** What a decision is based on. */
export type RoutingView = {
	own: EntryRegistration;
	others: readonly KnownEntry[];
	nowMs: number;
};

/** Share of time waiting for the processor at which the turns of the thread that an answer takes add tens of ms to it. */
const lateShareLimit = 0.1;
/** Share above which an entry takes nothing from others: its own callers would notice. */
const targetLateShare = 0.3;
/** Above this share of a link, transfers queue for longer than they take. */
const linkShareLimit = 0.7;
/** Lookups may be 2 s old; the rest of that time is for the way of an answer and for the next read. */
const stalenessLimitMs = 1500;
/** Pressure from which an entry forwards, and below which it stops. */
const forwardPressure = 1;
const acceptPressure = 0.6;
/** An older load is of no use: a burst of jobs is over within seconds. */
const maxLoadAgeMs = 1500;
/** Entries that differ by less than this factor count as equal: a hop would only move the load. */
const unevenFactor = 1.5;
/** Entries outside the own failure domain that are asked for their load at a time. */
const polledElsewhere = 2;
/** A load that is newer than this need not be asked for. */
const pollAgeMs = 400;
/** Calls of other entries that an entry serves at a time, for each processor: its own callers come first. */
const admittedPerProcessor = 24;
const minAdmitted = 4;

/** Calls that an entry forwards at a time; more would wait at the others. */
export const maxForwarded = 32;

/** How late an entry answers: 1 where its callers notice, infinite while the store does not serve it. */
export const getPressure = ({lateShare, linkShare = 0, stalenessMs = Number.POSITIVE_INFINITY, isStoreFailing}: EntryLoad): number => isStoreFailing
	? Number.POSITIVE_INFINITY
	: Math.max(lateShare / lateShareLimit, linkShare / linkShareLimit, stalenessMs / stalenessLimitMs);

/** Whether an entry forwards work at its pressure, as it did before or not. */
export const mustForward = (pressure: number, isForwarding: boolean): boolean => pressure >= (isForwarding ? acceptPressure : forwardPressure);

/** Whether an entry that is asked to serve a call would answer late itself. */
export const isLate = (load: EntryLoad): boolean => getOtherPressure(load) >= forwardPressure || load.lateShare >= targetLateShare;

/** Bound on the calls of others that an entry serves at a time. */
export const getMaxAdmitted = (processors: number): number => Math.max(minAdmitted, Math.floor(admittedPerProcessor * processors));

/** Whether the entries differ enough in processor or link for routing to help. */
export const areUneven = (entries: readonly EntryRegistration[]): boolean =>
	differ(entries.map(({processors}) => processors)) || differ(entries.map(({linkMbps}) => linkMbps));

const differ = (sizes: Array<number | undefined>): boolean => {
	const known = sizes.filter(size => size !== undefined);
	return known.length > 1 && Math.max(...known) >= unevenFactor * Math.min(...known);
};

/**
Chooses the entry to forward a call to: of two drawn at random among those with capacity, the less loaded one, and from the own failure
domain if any there has capacity. Undefined: none has.
*/
export const chooseTarget = ({own, others, nowMs}: RoutingView, ownLoad: EntryLoad, random: Random): KnownEntry | undefined => {
	const available = others.filter(entry => hasCapacity(entry, nowMs) && isSooner(entry.load!, ownLoad));
	const near = available.filter(entry => isNear(entry, own));
	const [first, second] = drawTwo(near.length > 0 ? near : available, random);
	return second !== undefined && isLessLoaded(second, first!) ? second : first;
};

const isNear = ({registration}: KnownEntry, {failureDomain}: EntryRegistration): boolean =>
	failureDomain !== undefined && registration.failureDomain === failureDomain;

/** Whether the entry has reported its load recently. */
export const isFresh = ({load, loadReadAtMs}: KnownEntry, nowMs: number): boolean => load !== undefined && nowMs - loadReadAtMs <= maxLoadAgeMs;

/** Pressure of all but the thread. */
const getOtherPressure = (load: EntryLoad): number => getPressure({...load, lateShare: 0});

/** Whether an entry answers clearly sooner than this one: its thread is at most half as late, unless something else makes this one late. */
const isSooner = (load: EntryLoad, own: EntryLoad): boolean => getOtherPressure(load) < acceptPressure && load.lateShare < targetLateShare
	&& (load.lateShare <= own.lateShare / 2 || getOtherPressure(own) >= forwardPressure);

const hasCapacity = (entry: KnownEntry, nowMs: number): boolean =>
	isFresh(entry, nowMs) && entry.skippedUntilMs <= nowMs && entry.load!.isReady && entry.openCalls < getMaxAdmitted(entry.registration.processors ?? 0);

/** Calls that wait at an entry, by its own word and those that this one has sent since, for each processor. */
const getQueue = ({load, openCalls, registration: {processors = 1}}: KnownEntry): number => (load!.openCalls + openCalls) / processors;

const isLessLoaded = (one: KnownEntry, other: KnownEntry): boolean => getQueue(one) < getQueue(other)
	|| (getQueue(one) === getQueue(other) && getPressure(one.load!) < getPressure(other.load!));

const drawTwo = <Item>(items: readonly Item[], random: Random): Item[] => {
	if (items.length <= 2) {
		return [...items];
	}

	const first = random.below(items.length);
	const second = random.below(items.length - 1);
	return [items[first]!, items[second < first ? second : second + 1]!];
};

/** Chooses the entries to ask for their load: all of the own failure domain, and a few others drawn at random. */
export const choosePolled = ({own, others, nowMs}: RoutingView, random: Random): KnownEntry[] => {
	const due = others.filter(({loadReadAtMs, skippedUntilMs}) => skippedUntilMs <= nowMs && nowMs - loadReadAtMs > pollAgeMs);
	const near = due.filter(entry => isNear(entry, own));
	const far = due.filter(entry => !isNear(entry, own));
	return [...near, ...drawTwo(far, random).slice(0, polledElsewhere)];
};

/**
Whether an overloaded entry may report that it is not ready: at least half of the entries of its failure domain stay ready, so that
its callers find others nearby. Of entries that withdraw at once, those with later names return.
*/
export const mayWithdraw = ({own, others, nowMs}: RoutingView, isWithdrawn: boolean): boolean => {
	const near = others.filter(entry => isNear(entry, own));
	const away = near.filter(entry => !isFresh(entry, nowMs) || (!entry.load!.isReady && (!isWithdrawn || entry.registration.host < own.host)));
	return away.length + 1 <= Math.floor((near.length + 1) / 2);
};
