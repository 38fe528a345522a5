/**
Measures what a claim adds to a request, and the appends that claims and ends need, on manual time:
`npx tsx test/perf/measure-claims.ts [seed]`.
*/
import process from 'node:process';
import {build as createHistogram} from 'hdr-histogram-js';
import {followLog} from '../../src/core/log-reader.ts';
import {createSettings} from '../../src/core/settings.ts';
import {ClaimRegistry} from '../../src/requests/claim-registry.ts';
import {MemoryLog} from '../../src/standin/memory-log.ts';
import {Stream, type PlatformLog} from '../../src/types/platform.ts';
import {type Random} from '../../src/types/random.ts';
import {ClaimState} from '../../src/types/services.ts';
import {ManualClock} from '../../src/utils/manual-clock.ts';
import {createRequestId} from '../../src/utils/request-id.ts';
import {createRandom} from '../../src/utils/seeded-random.ts';

type Measurements = {
	answerMs: number;
	claimsPerSecond: number;
	appendsPerSecond: number;
	p50Ms: number;
	p99Ms: number;
	won: number;
	lost: number;
};

const entryCount = 3;
const seconds = 20;
const runMs = 60;
const msPerSecond = 1000;
const microseconds = 1000;

/** A log whose calls each take `answerMs`: half before the operation takes effect, half after. */
const createSlowLog = (memory: MemoryLog, clock: ManualClock, answerMs: number): PlatformLog => ({
	async append(stream, value) {
		await clock.sleep(answerMs / 2);
		const offset = await memory.append(stream, value);
		await clock.sleep(answerMs / 2);
		return offset;
	},
	async read(stream, fromOffset, options) {
		await clock.sleep(answerMs / 2);
		const page = await memory.read(stream, fromOffset, options);
		await clock.sleep(answerMs / 2);
		return page;
	},
});

const getArrivalGapMs = (random: Random, perSecond: number): number => -Math.log(1 - random.next()) * msPerSecond / perSecond;

const measure = async (answerMs: number, claimsPerSecond: number, seed: number): Promise<Measurements> => {
	const clock = new ManualClock();
	const random = createRandom(seed);
	const memory = new MemoryLog(clock, random);
	const log = createSlowLog(memory, clock, answerMs);
	const histogram = createHistogram();
	const aborter = new AbortController();
	const {signal} = aborter;
	let won = 0;
	let lost = 0;

	const claimOne = async (registry: ClaimRegistry) => {
		const requestId = createRequestId(clock, random);
		const startMs = clock.monotonicMs();
		const {isWon} = await registry.claim(requestId, 'desk', 5000);
		if (!isWon) {
			lost++;
			return;
		}

		won++;
		histogram.recordValue(Math.round((clock.monotonicMs() - startMs) * microseconds));
		await clock.sleep(runMs);
		registry.finish(requestId, {state: ClaimState.Done, status: 200, body: 'x'.repeat(400)});
	};

	const arrive = async (registry: ClaimRegistry) => {
		while (!signal.aborted) {
			await clock.sleep(getArrivalGapMs(random, claimsPerSecond / entryCount));
			void claimOne(registry);
		}
	};

	for (let index = 0; index < entryCount; index++) {
		const registry = new ClaimRegistry({
			log, clock, random, entryId: `entry-${index}`, settings: createSettings(),
		});
		void registry.run(signal);
		void followLog(registry, {
			log, stream: Stream.Claims, clock, random, fromOffset: 0, signal,
		});
		void arrive(registry);
	}

	await clock.advance(seconds * msPerSecond);
	aborter.abort();
	const getMs = (percentile: number) => histogram.getValueAtPercentile(percentile) / microseconds;
	return {
		answerMs, claimsPerSecond, appendsPerSecond: memory.appends / seconds, p50Ms: getMs(50), p99Ms: getMs(99), won, lost,
	};
};

const main = async () => {
	const seed = Number(process.argv[2] ?? 1);
	console.log(`${entryCount} entries, ${seconds} s, runs of ${runMs} ms, seed ${seed}`);
	console.log('log answer ms | claims/s | appends/s | added p50 ms | added p99 ms | won | not confirmed');
	for (const answerMs of [2, 10, 50]) {
		for (const claimsPerSecond of [100, 300, 1000]) {
			const measurements = await measure(answerMs, claimsPerSecond, seed);
			const {appendsPerSecond, p50Ms, p99Ms, won, lost} = measurements;
			console.log([answerMs, claimsPerSecond, appendsPerSecond.toFixed(0), p50Ms.toFixed(1), p99Ms.toFixed(1), won, lost].join(' | '));
		}
	}
};

await main();
