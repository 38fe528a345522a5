/**
Case 1: the operator sends a queue to another service. A client's repeat of an accepted submission then starts the job's tasks once more.
*/
import {runCase, sleep, bounds} from '../common/site.js';

const prefix = '/lohu930/';
const oldService = 'lading-desk';
const newService = 'title-desk';
const workMs = 12_000;
const jobs = 6;
const minionsPerService = 4;

const createConfig = (version, service) => ({
	version,
	routes: [{
		name: 'issue', host: 'nony24.example', pathPrefix: prefix, service, priority: 0, maxAttempts: 3, stretch: 2, targetLatencyMs: 1000, timeoutMs: 3000,
	}],
	services: [{name: oldService, enforcesCapacity: false}, {name: newService, enforcesCapacity: false}],
	limits: {
		maxBodyBytes: 262_144, maxHeaderBytes: 16_384, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
});

/** Finds tasks with two runs at the same time, on minions that were up all the while. */
const findDoubleRuns = (site, events) => {
	const active = new Map();
	let count = 0;
	for (const {type, taskId, run, workerId} of events) {
		const runs = active.get(taskId) ?? new Map();
		active.set(taskId, runs);
		if (type === 'started') {
			for (const [other, otherRun] of runs) {
				count++;
				site.note(`TWICE: ${taskId} run ${run} starts on ${workerId} while its run ${otherRun} is running on ${other}`);
			}

			runs.set(workerId, run);
		} else {
			runs.delete(workerId);
		}
	}

	return count;
};

await runCase(1, async (site, isTroubled) => {
	await site.start({entries: 3, config: createConfig(7, oldService)});
	for (let index = 0; index < minionsPerService; index++) {
		for (const service of [oldService, newService]) {
			await site.addMinion({service, planRun: () => ({workMs})});
		}
	}

	if (!await site.waitUntilReady(20_000)) {
		return 2;
	}

	// All agents have registered by then.
	await sleep(4000);
	const offered = Array.from({length: jobs}, (_, index) => ({
		path: `${prefix}${(0x5C_0E_7A_21_D9_4B_30_00n + BigInt(index)).toString(16).padStart(16, '0')}`,
		json: {
			spec: `bill ${index}`, steps: [{
				count: 2, cpu: 1800, memMb: 1024, estimateMs: workMs,
			}],
		},
	}));
	for (const [index, {path, json}] of offered.entries()) {
		const {status} = await site.call(site.entries[index % 3], 'POST', path, json);
		if (status !== 200) {
			return 2;
		}
	}

	await sleep(2000);
	if (site.events.filter(({type}) => type === 'started').length < 2 * jobs) {
		site.note('not all tasks have started');
		return 2;
	}

	if (isTroubled) {
		site.declare(createConfig(11, newService));
	}

	await sleep(bounds.configApplyMs + 1000);
	for (const [index, {path, json}] of offered.entries()) {
		await site.call(site.entries[(index + 1) % 3], 'GET', path);
		// The repeat that the client had sent before the 2xx came: it arrives seconds after that.
		await site.call(site.entries[(index + 2) % 3], 'POST', path, json);
	}

	await sleep(3000);
	return findDoubleRuns(site, site.events) > 0 ? 1 : 0;
});
