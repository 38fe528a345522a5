/**
Creates a simulated site for tests: hosts with agents and workers, and entries, after the time that they need to connect.
*/
import {SimulatedSite} from './simulated-site.ts';

export const jobId = '00000000000000a1';
export const otherId = '00000000000000a2';

export const createJobId = (number: number): string => number.toString(16).padStart(16, '0');

export const createSite = async (hosts = 2, entries = 2): Promise<SimulatedSite> => {
	const site = new SimulatedSite();
	for (let index = 0; index < hosts; index++) {
		site.addHost(`host-${index}`);
	}

	for (let index = 0; index < entries; index++) {
		site.startEntry(`entry-${index}`);
	}

	await site.clock.advance(2000);
	return site;
};
