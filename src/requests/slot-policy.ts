/**
How the slots of one upstream are divided among entries.
*/

/** What one entry has and wants. */
export type SlotNeed = {
	share: number;
	wanted: number;
};

/** Divides slots among entries; the result has one number for each need, in order, and never sums to more. */
export type DivideSlots = (slots: number, needs: SlotNeed[], offset: number) => number[];

/** Divides evenly and never moves: the baseline that moving shares must beat. */
export const divideEvenly: DivideSlots = (slots, needs) => needs.map(() => Math.floor(slots / needs.length));

/**
Divides by demand, max-min fair. What nobody wants stays where it is up to an even part, and the rest goes around.
The offset turns the order, so that the odd slots of different upstreams go to different entries.
*/
export const divideByDemand: DivideSlots = (slots, needs, offset) => {
	const shares = needs.map(() => 0);
	let free = slots;
	const deal = (isDue: (index: number) => boolean) => {
		for (let isDealing = true; isDealing && free > 0;) {
			isDealing = false;
			for (let step = 0; step < needs.length && free > 0; step++) {
				const index = (step + offset) % needs.length;
				if (isDue(index)) {
					shares[index]!++;
					free--;
					isDealing = true;
				}
			}
		}
	};

	deal(index => shares[index]! < needs[index]!.wanted);
	// One slot each, as far as they go: a first request then need not wait for a share.
	deal(index => shares[index] === 0);
	const even = Math.ceil(slots / needs.length);
	deal(index => shares[index]! < Math.min(needs[index]!.share, even));
	deal(index => shares[index]! < even);
	deal(() => true);
	return shares;
};

/** Part of what waits for a service that is asked for at one of its upstreams: the parts sum to the whole. */
export const getWaitingPart = (waiting: number, index: number, count: number): number =>
	Math.floor(waiting / count) + (index < waiting % count ? 1 : 0);
