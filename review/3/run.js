/**
Case 3: three times a minion crashes shortly after the start of the same task, which lasts. Its job is then shown as failed, and its other tasks
are stopped, though no run has ended failed.
*/
import {runCase, sleep} from '../common/site.js';

const prefix = '/lohu930/';
const service = 'lading-desk';
const minions = 11;
const crashes = 3;
const crashAfterMs = 300;
/** Length of the disruption as in the site file's list of troubles. */
const downMs = 4500;
const tasks = 6;
const otherWorkMs = 900;
const id = '5c0e7a21d94b36f8';
const boundMs = 45_000;
const pollMs = 1000;

const countFailures = ({events}) => events.filter(({type, taskId, end}) => type === 'ended' && taskId.startsWith(id) && end === 'failed').length;

await runCase(3, async (site, isTroubled) => {
	await site.start({
		entries: 3,
		config: {
			version: 7,
			routes: [{
				name: 'issue', host: 'nony24.example', pathPrefix: prefix, service, priority: 0, maxAttempts: 3, stretch: 2, targetLatencyMs: 1000, timeoutMs: 3000,
			}],
			services: [{name: service, enforcesCapacity: false}],
			limits: {
				maxBodyBytes: 262_144, maxHeaderBytes: 16_384, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
			},
		},
	});
	let crashed = 0;
	const onStart = (minion, {taskId}) => {
		if (isTroubled && crashed < crashes && taskId === `${id}.0.0.0`) {
			crashed++;
			setTimeout(() => {
				site.crash(minion, downMs);
			}, crashAfterMs);
		}
	};

	const planRun = ({input}) => ({workMs: input === 'watch' ? undefined : otherWorkMs});
	for (let index = 0; index < minions; index++) {
		await site.addMinion({service, planRun, onStart});
	}

	if (!await site.waitUntilReady(30_000)) {
		return 2;
	}

	// All agents have registered by then.
	await sleep(4000);
	const path = `${prefix}${id}`;
	const {status} = await site.call(site.entries[0], 'POST', path, {
		spec: 'watch', steps: [{
			count: tasks, cpu: 3200, memMb: 6400, longRunning: true,
		}],
	});
	if (status !== 200) {
		return 2;
	}

	const endMs = site.nowMs + boundMs;
	for (let index = 0; site.nowMs < endMs; index++) {
		// The other jobs of the site.
		const other = `${prefix}${(0x6B_0E_7A_21_D9_4B_30_00n + BigInt(index)).toString(16).padStart(16, '0')}`;
		site.call(site.entries[index % 3], 'POST', other, {
			spec: 'check', steps: [{
				count: 6, cpu: 240, memMb: 480, estimateMs: otherWorkMs,
			}],
		});
		const {body} = await site.call(site.entries[index % 3], 'GET', path);
		const failures = countFailures(site);
		if (body.includes('"failed"')) {
			site.note(`LOST: the job is shown as failed after ${failures} ends failed of its tasks and ${crashed} crashes of minions`);
			return failures === 0 ? 1 : 2;
		}

		await sleep(pollMs);
	}

	return crashed === (isTroubled ? crashes : 0) ? 0 : 2;
});
