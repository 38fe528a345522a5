/**
Measures admission of one service on a simulated clock: `npx tsx test/perf/measure-admission.ts [seed]`.
Checks of 5 ms and long requests of 60 ms (a fifth of all, unless a condition differs) on 88 slots, with exponentially distributed run times.
*/
import process from 'node:process';
import {build as createHistogram} from 'hdr-histogram-js';
import {Admission, type AdmissionLimits, type Ticket} from '../../src/requests/admission.ts';
import {RequestClass} from '../../src/types/requests.ts';
import {ManualClock} from '../../src/utils/manual-clock.ts';
import {createRandom} from '../../src/utils/seeded-random.ts';

const slots = 88;
const seconds = 30;
const msPerSecond = 1000;
const checkMs = 5;
const longMs = 60;
const callers = 20;
const waveMs = 2000;

const createLimits = (checkLimit: number, longLimit: number, longShare = 0.25): AdmissionLimits => ({
	queueLimit: checkLimit, longQueueLimit: longLimit, longShare, waitShare: 0.5,
});

type Tally = {
	sent: number;
	answered: number;
	refusedOnArrival: number;
	refusedLater: number;
};

type Condition = {
	load: number;
	/** Share of the requests that are long. */
	longRequestShare: number;
	isWavy?: boolean;
};

const measure = ({load, longRequestShare, isWavy = false}: Condition, limits: AdmissionLimits, seed: number) => {
	// Mean work of one request, in slot milliseconds.
	const meanMs = ((1 - longRequestShare) * checkMs) + (longRequestShare * longMs);
	const clock = new ManualClock();
	const random = createRandom(seed);
	let free = slots;
	const admission = new Admission({
		clock, random, limits, getFreeSlots: () => free,
	});
	const histogram = createHistogram();
	const tallies: Record<RequestClass, Tally> = {
		[RequestClass.Check]: {
			sent: 0, answered: 0, refusedOnArrival: 0, refusedLater: 0,
		},
		[RequestClass.Long]: {
			sent: 0, answered: 0, refusedOnArrival: 0, refusedLater: 0,
		},
	};
	const draw = (mean: number) => -Math.log(1 - random.next()) * mean;

	const send = () => {
		const requestClass = random.next() < longRequestShare ? RequestClass.Long : RequestClass.Check;
		const isLong = requestClass === RequestClass.Long;
		const tally = tallies[requestClass];
		const arrivedAtMs = clock.monotonicMs();
		const runMs = draw(isLong ? longMs : checkMs);
		tally.sent++;
		const ticket: Ticket = {
			requestClass,
			callerId: `caller-${random.below(callers)}`,
			arrivedAtMs,
			deadlineAtMs: arrivedAtMs + (isLong ? 30_000 : 2000),
			tryStart() {
				if (free === 0) {
					return false;
				}

				free--;
				clock.setTimer(() => {
					free++;
					tally.answered++;
					if (!isLong) {
						histogram.recordValue(Math.round((clock.monotonicMs() - arrivedAtMs) * 1000));
					}

					admission.recordEnd(requestClass, runMs);
				}, runMs);
				return true;
			},
			refuse() {
				if (clock.monotonicMs() === arrivedAtMs) {
					tally.refusedOnArrival++;
				} else {
					tally.refusedLater++;
				}
			},
		};
		admission.submit(ticket);
	};

	const arrive = () => {
		send();
		// Waves: three times the load in one quarter of the time, a third of it in the rest.
		const factor = isWavy ? (clock.monotonicMs() % waveMs < waveMs / 4 ? 3 : 1 / 3) : 1;
		clock.setTimer(arrive, draw(meanMs / (slots * load * factor)));
	};

	arrive();
	clock.advanceSync(seconds * msPerSecond);
	const {check, long} = tallies;
	const goodput = ((check.answered * checkMs) + (long.answered * longMs)) / (slots * seconds * msPerSecond);
	const getMs = (percentile: number) => (histogram.getValueAtPercentile(percentile) / 1000).toFixed(0);
	return [
		`${load}${isWavy ? ' wavy' : ''}, ${longRequestShare} long`,
		getMs(50),
		getMs(99),
		getMs(99.9),
		goodput.toFixed(3),
		check.refusedOnArrival,
		check.refusedLater,
		long.refusedOnArrival,
		long.refusedLater,
		`${long.answered}/${long.sent}`,
	].join(' | ');
};

const conditions: Condition[] = [
	...[0.5, 0.8, 0.95, 1, 1.3, 2].map(load => ({load, longRequestShare: 0.2})),
	{load: 0.8, longRequestShare: 0.2, isWavy: true},
	{load: 1.3, longRequestShare: 0.02},
	{load: 0.8, longRequestShare: 0.02, isWavy: true},
];

const main = () => {
	const seed = Number(process.argv[2] ?? 1);
	const sets: Array<[string, AdmissionLimits]> = [
		['as shipped', createLimits(512, 4096)],
		['queues of 64', createLimits(64, 64)],
		['queues of 512', createLimits(512, 512)],
		['queues of 4096', createLimits(4096, 4096)],
		['no reserve', createLimits(512, 4096, 0)],
		['reserve of half', createLimits(512, 4096, 0.5)],
	];
	for (const [name, limits] of sets) {
		console.log(`${name}: load | check p50 ms | p99 | p99.9 | goodput | checks refused on arrival, later | long refused on arrival, later | long answered`);
		for (const condition of conditions) {
			console.log(measure(condition, limits, seed));
		}
	}
};

main();
