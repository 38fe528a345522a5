/**
Policies that divide the slots of one upstream among entries.
*/

/** The slots that one entry has and wants. */
export type SlotNeed = {
	share: number;
	wanted: number;
};

/** Divides slots among entries; returns one number for each need, in order, whose sum never exceeds `slots`. */
export type DivideSlots = (slots: number, needs: SlotNeed[], offset: number) => number[];

/** Divides evenly, whatever the demand: the baseline for policies that move shares. */
export const divideEvenly: DivideSlots = (slots, needs) => needs.map(() => Math.floor(slots / needs.length));

/**
Divides by demand, max-min fair. Slots that no entry wants stay where they are up to an even share, and the rest is
assigned in turn. The offset rotates the order, so that the remainders of different upstreams go to different entries.
*/
export const divideByDemand: DivideSlots = (slots, needs, offset) => {
	const shares = needs.map(() => 0);
	let free = slots;
	const assignWhile = (isEligible: (index: number) => boolean) => {
		for (let hasAssigned = true; hasAssigned && free > 0;) {
			hasAssigned = false;
			for (let step = 0; step < needs.length && free > 0; step++) {
				const index = (step + offset) % needs.length;
				if (isEligible(index)) {
					shares[index]!++;
					free--;
					hasAssigned = true;
				}
			}
		}
	};

	assignWhile(index => shares[index]! < needs[index]!.wanted);
	// One slot for each entry that has none, while any are free: its first request then need not wait for a share.
	assignWhile(index => shares[index] === 0);
	const evenShare = Math.ceil(slots / needs.length);
	assignWhile(index => shares[index]! < Math.min(needs[index]!.share, evenShare));
	assignWhile(index => shares[index]! < evenShare);
	assignWhile(() => true);
	return shares;
};

/** Gets the part of a service's waiting requests for which slots are requested at one upstream; the parts sum to `waiting`. */
export const getWaitingPart = (waiting: number, index: number, count: number): number =>
	Math.floor(waiting / count) + (index < waiting % count ? 1 : 0);
