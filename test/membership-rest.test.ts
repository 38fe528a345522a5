import {expect, test} from 'vitest';
import {FlapDamper} from '../src/requests/flap-damper.ts';
import {MembershipState} from '../src/requests/membership-state.ts';
import {HostState, type UpstreamAnnouncement} from '../src/types/announcements.ts';
import {ManualClock} from '../src/utils/manual-clock.ts';

const voucherLeaseMs = 3000;

const createState = (clock: ManualClock, ownerId: string) => new MembershipState(clock, ownerId, {
	voucherLeaseMs, graceMs: 1000, forgetAfterMs: 60_000, getSpread: () => 0,
}, new FlapDamper(clock, {holdAt: 5, releaseAt: 2, halfLifeMs: 10_000}));

const announcement: UpstreamAnnouncement = {
	upstreamId: 'desk-1',
	service: 'lading-desk',
	incarnation: 1,
	sequence: 1,
	state: HostState.Alive,
	address: '127.0.0.1:1',
	region: 'scot-central',
	failureDomain: 'leith-hall',
	slots: 8,
	connections: 64,
	isGuarded: false,
};

// Two entries exchange changes several times a second. Each answer returned the requester's own set in full, because the
// requester did not list that set among those it has: 645 bytes per second for each host without any change.
test('an answer does not return the set of the entry that requests it', () => {
	const clock = new ManualClock();
	const [a, b] = [createState(clock, 'a'), createState(clock, 'b')];
	a.receiveAnnouncement('upstream/desk-1', announcement, 60_000);
	b.applyAnswer(a.servePull(b.createPull('a')), clock.monotonicMs());
	expect(b.isAlive('upstream/desk-1')).toBe(true);
	clock.advanceSync(voucherLeaseMs / 2);
	const {owners} = b.servePull(a.createPull('b'));
	expect(owners.flatMap(({changes}) => changes)).toEqual([]);
});
