/**
Connects the routing of an entry with its process: figures of the thread, the link and the view of the jobs, and calls to other entries.
*/
import {type EntryRegistration} from '../types/entries.ts';
import {type JobApi} from '../types/job-api.ts';
import {createRandom} from '../utils/seeded-random.ts';
import {EntryRouter} from '../workflows/entry-router.ts';
import {RoutingApi} from '../workflows/routing-api.ts';
import {createForwardClient} from './entry-messages.ts';
import {type SiteProcess} from './site-process.ts';

/** Parts of an entry that its routing uses. */
export type RoutedEntry = {
	own: EntryRegistration;
	/** Job API of this entry alone. */
	local: JobApi;
	/** Job API that does a call which is not forwarded. */
	fallback: JobApi;
	getOthers: () => readonly EntryRegistration[];
	/** Staleness of the view of the jobs; undefined: not complete yet. */
	getStalenessMs: () => number | undefined;
	isStoreFailing: () => boolean;
	isReady: () => boolean;
};

/** Registration of this entry. */
export const createRegistration = ({site, internalAddress}: SiteProcess): EntryRegistration => ({
	host: site.hostName, address: internalAddress, failureDomain: site.failureDomain, processors: site.processors, ...(site.linkMbps !== undefined && {linkMbps: site.linkMbps}),
});

/** Creates the router of an entry, and the job API for its callers. */
export const createRouting = ({clock, streams, load, link, note}: SiteProcess, entry: RoutedEntry): {router: EntryRouter; jobs: JobApi} => {
	const {own, local, fallback, getOthers, getStalenessMs, isStoreFailing, isReady} = entry;
	const client = createForwardClient(streams);
	const router = new EntryRouter({
		own,
		client,
		clock,
		random: createRandom(),
		getOthers,
		note,
		getOwnLoad: () => ({
			lateShare: load.recentLateShare, linkShare: link.share, stalenessMs: getStalenessMs(), isStoreFailing: isStoreFailing(), isReady: isReady(),
		}),
	});
	return {
		router, jobs: new RoutingApi({
			local, fallback, router, client, clock,
		}),
	};
};
