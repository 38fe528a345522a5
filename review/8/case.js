/**
Three minions crash, one after the other, each soon after the same task of a standing feed has started there. The feed is shown as failed
although no run of it has ended as failed, and its other task, which nothing has happened to, is stopped.
*/
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {runCase, sleep} from '../common-3/site.js';

const id = '00000000000000a8';
const body = {
	spec: 'standing feed', steps: [{
		count: 2, cpu: 500, memMb: 100, estimateMs: 500, longRunning: true, antiAffinity: 1,
	}],
};
const maxAttempts = 4;
const crashes = 3;
const crashAfterMs = 300;
const downMs = 4500;
const watchMs = 40_000;

let hasTrouble = false;
let crashed = 0;
const failedEnds = [];

await runCase({
	folder: path.dirname(fileURLToPath(import.meta.url)), entries: 3, minions: 11, maxAttempts,
	onStart(minion, task) {
		if (hasTrouble && crashed < crashes && task === `${id}.0.0.0`) {
			crashed++;
			setTimeout(() => {
				minion.crash(downMs);
			}, crashAfterMs);
		}
	},
	onEnd(_, task, run, how) {
		if (how === 'failed') {
			failedEnds.push(`${task}#${run}`);
		}
	},
}, async (site, isDisturbed) => {
	hasTrouble = isDisturbed;
	await sleep(4000);
	const entry = site.entries.find(({name}) => name !== site.findOwner()?.name);
	const {status} = await site.ask(entry, 'POST', id, {body});
	if (status !== 200) {
		return undefined;
	}

	const endAtMs = performance.now() + watchMs;
	let state;
	while (performance.now() < endAtMs && state !== 'failed') {
		await sleep(1000);
		({json: {state} = {}} = await site.ask(entry, 'GET', id));
	}

	await sleep(1000);
	const running = site.minions.reduce((sum, minion) => sum + minion.running.size, 0);
	site.record(`the job is shown as ${state} and ${running} of its 2 tasks run; ${failedEnds.length} runs have ended as failed, ${maxAttempts} are allowed; ${crashed} minions have crashed`);
	return state === 'failed' && failedEnds.length === 0;
});
