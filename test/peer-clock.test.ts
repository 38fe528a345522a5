/**
Estimate of a peer's monotonic clock.
*/
import * as fc from 'fast-check';
import {expect, it} from 'vitest';
import {PeerClock} from '../src/utils/peer-clock.ts';

it('is not set back by a response that was handled late', () => {
	const peer = new PeerClock();
	peer.addReading(5000, {sentAtMs: 990, handledAtMs: 1000});
	peer.addReading(5100, {sentAtMs: 1090, handledAtMs: 2400});
	expect(peer.estimate(2400)).toBe(6400);
});

it('is corrected at the next response after the peer stood still', () => {
	const peer = new PeerClock();
	peer.addReading(5000, {sentAtMs: 990, handledAtMs: 1000});
	peer.addReading(5100, {sentAtMs: 4090, handledAtMs: 4100});
	expect(peer.estimate(4100)).toBeLessThanOrEqual(5110);
});

it('is never ahead of a running clock, whatever the delays', () => {
	fc.assert(fc.property(fc.array(fc.tuple(fc.nat(2000), fc.nat(2000), fc.nat(3000)), {minLength: 1}), exchanges => {
		const peer = new PeerClock();
		let nowMs = 0;
		for (const [requestMs, lateMs, pauseMs] of exchanges) {
			const sentAtMs = nowMs;
			const readAtMs = sentAtMs + requestMs;
			nowMs = readAtMs + lateMs;
			peer.addReading(readAtMs + 700, {sentAtMs, handledAtMs: nowMs});
			if (peer.estimate(nowMs) > nowMs + 700 || peer.estimate(nowMs) < nowMs + 700 - lateMs) {
				return false;
			}

			nowMs += pauseMs;
		}

		return true;
	}), {seed: 7});
});
