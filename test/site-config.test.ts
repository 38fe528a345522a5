/**
The configuration that an entry of a site follows, on manual time.
*/
import {Buffer} from 'node:buffer';
import {describe, expect, it} from 'vitest';
import {createError, ErrorCode} from '../src/core/errors.ts';
import {type SiteConfig} from '../src/types/site.ts';
import {type KeyedPage, type StoreClient} from '../src/types/store.ts';
import {ManualClock} from '../src/utils/manual-clock.ts';
import {ConfigFollower} from '../src/workflows/config-follower.ts';

const createPage = (version: number, offset: number): KeyedPage => ({
	records: [{key: 'config', value: Buffer.from(String(version)), offset}], endOffset: offset + 1,
});

const follow = async (pages: KeyedPage[]): Promise<number[]> => {
	const clock = new ManualClock();
	const aborter = new AbortController();
	const store: Pick<StoreClient, 'readNewest' | 'readKeyed'> = {
		readNewest: async () => pages.length > 1 ? pages.shift()! : pages[0]!,
		async readKeyed() {
			await clock.sleep(100);
			throw createError(ErrorCode.OffsetGone, {step: 'read', detail: '0'});
		},
	};
	const versions: number[] = [];
	const follower = new ConfigFollower({
		store: store as StoreClient,
		clock,
		ref: {topic: 'operators', partition: 0},
		key: 'config',
		getEvacuatedDomain: () => undefined,
		decode: text => ({version: Number(text)}) as unknown as SiteConfig,
		onConfig: config => versions.push(Number(config.version)),
		note: () => undefined,
	});
	void follower.run(aborter.signal);
	await clock.advance(3000);
	aborter.abort();
	return versions;
};

describe('the configuration of an entry', () => {
	it('follows each newer record', async () => {
		expect(await follow([createPage(7, 3), createPage(9, 5)])).toEqual([7, 9]);
	});

	/**
	The store drops its history, and the entry reads the newest record again, from a replica that is behind. Requests to a queue
	that had just been added were refused again: an older record must never replace a newer one.
	*/
	it('never returns to an older record that the store shows later', async () => {
		expect(await follow([createPage(9, 5), createPage(7, 3), createPage(9, 5)])).toEqual([9]);
	});
});
