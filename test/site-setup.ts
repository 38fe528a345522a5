/**
What the tests of a site begin with: hosts with agents and workers, entries, and time for them to find each other.
*/
import {SiteWorld} from './site-world.ts';

export const jobId = '00000000000000a1';
export const otherId = '00000000000000a2';

export const createSite = async (hosts = 2, entries = 2): Promise<SiteWorld> => {
	const world = new SiteWorld();
	for (let index = 0; index < hosts; index++) {
		world.addHost(`host-${index}`);
	}

	for (let index = 0; index < entries; index++) {
		world.startEntry(`entry-${index}`);
	}

	await world.clock.advance(2000);
	return world;
};
