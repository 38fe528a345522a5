import {expect, test} from 'vitest';
import {HedgePolicy} from '../src/requests/hedge.ts';
import {ConcurrencyLimit, ConcurrencyLimitRegistry} from '../src/requests/limit.ts';
import {RequestClass} from '../src/types/requests.ts';

const repeat = (times: number, action: () => void) => {
	for (let index = 0; index < times; index++) {
		action();
	}
};

test('the limit falls while requests at full concurrency get slower, and recovers', () => {
	const limit = new ConcurrencyLimit(8);
	repeat(200, () => {
		limit.recordSuccess(RequestClass.Check, 20, 8);
	});
	expect(limit.getLimit()).toBe(8);
	repeat(60, () => {
		limit.recordSuccess(RequestClass.Check, 200, 8);
	});
	expect(limit.getLimit()).toBeLessThan(6);
	repeat(400, () => {
		limit.recordSuccess(RequestClass.Check, 20, 8);
	});
	expect(limit.getLimit()).toBe(8);
});

test('latency with few requests in flight does not change the limit', () => {
	const limit = new ConcurrencyLimit(8);
	repeat(50, () => {
		limit.recordSuccess(RequestClass.Check, 20, 1);
	});
	repeat(50, () => {
		limit.recordSuccess(RequestClass.Check, 500, 1);
	});
	expect(limit.getLimit()).toBe(8);
});

test('failures reduce the limit to one, never to zero', () => {
	const limit = new ConcurrencyLimit(8);
	repeat(500, () => {
		limit.recordFailure();
	});
	expect(limit.getLimit()).toBe(1);
});

test('a limit never exceeds the slots, whatever the latencies', () => {
	const registry = new ConcurrencyLimitRegistry();
	expect(registry.getLimit('desk-1', 8)).toBe(8);
	const limit = registry.getOrCreate('desk-1', 8);
	for (let index = 0; index < 1000; index++) {
		limit.recordSuccess(index % 7 === 0 ? RequestClass.Long : RequestClass.Check, 1 + ((index * 37) % 500), index % 9);
		expect(limit.getLimit()).toBeGreaterThanOrEqual(1);
		expect(limit.getLimit()).toBeLessThanOrEqual(8);
	}

	registry.forget('desk-1');
	expect(registry.getLimit('desk-1', 8)).toBe(8);
});

const candidate = {
	requestClass: RequestClass.Check, isIdempotent: true, deadlineAtMs: 1000, nowMs: 100, hasOtherSlot: true, freeShare: 0.5,
};
const allow = () => true;

test('hedges start after the 95th percentile of recent checks', () => {
	const hedges = new HedgePolicy();
	for (let latencyMs = 1; latencyMs < 100; latencyMs++) {
		hedges.recordCheck(latencyMs);
	}

	expect(hedges.getDelayMs()).toBeUndefined();
	hedges.recordCheck(100);
	expect(hedges.getDelayMs()).toBe(95);
});

test('only idempotent checks before their deadline are hedged, on spare slots elsewhere, and within the budget', () => {
	const hedges = new HedgePolicy();
	let callCount = 0;
	const count = () => {
		callCount++;
		return true;
	};

	expect(hedges.mayHedge({...candidate, requestClass: RequestClass.Long}, count)).toBe(false);
	expect(hedges.mayHedge({...candidate, isIdempotent: false}, count)).toBe(false);
	expect(hedges.mayHedge({...candidate, nowMs: 1000}, count)).toBe(false);
	expect(hedges.mayHedge({...candidate, hasOtherSlot: false}, count)).toBe(false);
	expect(hedges.mayHedge({...candidate, freeShare: 0.1}, count)).toBe(false);
	expect(callCount).toBe(0);
	expect(hedges.mayHedge(candidate, () => false)).toBe(false);
	expect(hedges.mayHedge(candidate, allow)).toBe(true);
});
