/**
A client leaves while the entry that it asked stands still, and cancels its job at another entry. The frozen entry accepts the job as it wakes.
*/
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {runCase, sleep} from '../common-3/site.js';

const id = '00000000000000a9';
const body = {
	spec: 'standing feed', steps: [{
		count: 3, cpu: 500, memMb: 100, estimateMs: 500, longRunning: true,
	}],
};
const deadlineMs = 3000;
const freezeMs = 3500;
const cancelMs = 3000;
const stopGraceMs = 200;
const contactMs = 3000;

await runCase({folder: path.dirname(fileURLToPath(import.meta.url)), entries: 3, minions: 4}, async (site, hasTrouble) => {
	await sleep(4000);
	const owner = site.findOwner();
	const [asked, other] = site.entries.filter(entry => entry !== owner);
	let wakesAtMs = performance.now();
	if (hasTrouble) {
		site.freeze(asked);
		wakesAtMs += freezeMs;
		setTimeout(() => {
			site.wake(asked);
		}, freezeMs);
	}

	await site.ask(asked, 'POST', id, {body, deadlineMs});
	const {status} = await site.ask(other, 'DELETE', id, {deadlineMs});
	if (status !== 200 && status !== 410) {
		return undefined;
	}

	const cancelledAtMs = performance.now();
	site.record(`the cancellation is acknowledged with ${status}`);
	// The rule counts from the acknowledgement, and without disruption near: the last one is the wake.
	await sleep(Math.max(cancelledAtMs + cancelMs, wakesAtMs + contactMs + cancelMs) + stopGraceMs + 2000 - performance.now());
	const running = site.minions.flatMap(minion => [...minion.running.keys()].filter(task => task.startsWith(id)));
	site.record(`${running.length} tasks of the cancelled job run ${((performance.now() - cancelledAtMs) / 1000).toFixed(1)} s after the acknowledgement: ${running.join(' ')}`);
	return running.length > 0;
});
