/**
Measures the cost of at-most-once requests: appends and bytes of the log, processor time and state of a claim.
*/
import {followLog} from '../core/log-reader.ts';
import {createSettings} from '../core/settings.ts';
import {ClaimRegistry} from '../requests/claim-registry.ts';
import {MemoryLog} from '../standin/memory-log.ts';
import {Stream} from '../types/platform.ts';
import {ClaimState} from '../types/services.ts';
import {ManualClock} from '../utils/manual-clock.ts';
import {createRequestId} from '../utils/request-id.ts';
import {createRandom} from '../utils/seeded-random.ts';
import {getCpuUs, getHeapBytes} from './process-cost.ts';
import {fitSlope, type Sample, type Slope} from './slope.ts';

const rates = [100, 300, 1000];
const measuredMs = 5000;
const stepMs = 10;
const logDelayMs = 10;
const claimTimeoutMs = 2000;

/** Measures one entry that claims and finishes requests, at several rates. */
export const measureClaims = async (seed: number): Promise<Slope[]> => {
	const appends: Sample[] = [];
	const cpu: Sample[] = [];
	const state: Sample[] = [];
	const bytes: Sample[] = [];
	for (const rate of rates) {
		const clock = new ManualClock();
		const random = createRandom(seed);
		const log = new MemoryLog(clock, random);
		log.faults.delayMs = logDelayMs;
		const registry = new ClaimRegistry({
			log, clock, random, entryId: 'entry-1', settings: createSettings(),
		});
		const aborter = new AbortController();
		const following = followLog(registry, {
			log, stream: Stream.Claims, clock, random, fromOffset: 0, signal: aborter.signal,
		});
		const writing = registry.run(aborter.signal);
		await clock.advance(claimTimeoutMs);
		const before = getHeapBytes();
		let won = 0;
		const claimOnce = async () => {
			const requestId = createRequestId(clock, random);
			const {isWon} = await registry.claim(requestId, 'lading-desk', claimTimeoutMs);
			if (isWon) {
				won++;
				registry.finish(requestId, {state: ClaimState.Done, status: 200});
			}
		};

		const spentUs = await getCpuUs(async () => {
			for (let passedMs = 0; passedMs < measuredMs; passedMs += stepMs) {
				for (let count = 0; count < rate * stepMs / 1000; count++) {
					void claimOnce();
				}

				await clock.advance(stepMs);
			}

			await clock.advance(claimTimeoutMs);
		});
		const {records} = await readAll(log, clock);
		appends.push({size: rate, value: log.appends / (measuredMs / 1000)});
		cpu.push({size: rate, value: spentUs / won});
		bytes.push({size: rate, value: records.reduce((sum, {value}) => sum + JSON.stringify(value).length, 0) / won});
		state.push({size: won, value: getHeapBytes() - before - getLogBytes(records)});
		aborter.abort();
		await clock.advance(claimTimeoutMs);
		await Promise.all([following, writing]);
	}

	return [
		fitSlope(`appends of one entry a second, log of ${logDelayMs} ms`, 'claim a second', appends),
		fitSlope('processor time of one claim with its end, us', 'claim a second', cpu),
		fitSlope('bytes in the log of one claim with its end', 'claim a second', bytes),
		fitSlope('state, bytes', 'request id known', state),
	];
};

const readAll = async (log: MemoryLog, clock: ManualClock) => {
	const reading = log.read(Stream.Claims, 0, {limit: Number.MAX_SAFE_INTEGER});
	await clock.advance(logDelayMs);
	return reading;
};

/** Size of the records in the stand-in log, which shares the heap and is subtracted. Each record counts as its JSON text. */
const getLogBytes = (records: Array<{value: unknown}>): number => records.reduce((sum, {value}) => sum + JSON.stringify(value).length, 0);
