/**
Case 3: one minion crashes while tasks on it are young, and is back after a second. All of them are quarantined and start again one after the
other, the long-running ones last: these have nothing running for longer than the rule allows, on a site that is nearly empty.
*/
import {runCase, sleep} from '../common/site.js';

const prefix = '/lohu930/';
const service = 'lading-desk';
const minions = 11;
const lastingTasks = 2;
const jobs = 10;
const tasksPerJob = 20;
const workMs = 900;
const crashAfterMs = 300;
const downMs = 1000;
const id = '5c0e7a21d94b36f8';
/** A task that lasts has to have a run from here on after the end of its last one. */
const resumeMs = 6000;
/** Nothing else may have happened for this time before, and for the time that the task has nothing running. */
const calmMs = 4000;
const idleMs = 3000;
const watchMs = 30_000;

await runCase(3, async (site, isTroubled) => {
	await site.start({
		entries: 3,
		config: {
			version: 7,
			routes: [{
				name: 'issue', host: 'nony24.example', pathPrefix: prefix, service, priority: 0, maxAttempts: 4, stretch: 1.5, targetLatencyMs: 250, timeoutMs: 3000,
			}],
			services: [{name: service, enforcesCapacity: false}],
			limits: {
				maxBodyBytes: 262_144, maxHeaderBytes: 16_384, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
			},
		},
	});
	let backAtMs;
	const onStart = (minion, {taskId}) => {
		if (isTroubled && backAtMs === undefined && taskId.startsWith(id)) {
			backAtMs = Number.POSITIVE_INFINITY;
			setTimeout(() => {
				site.crash(minion, downMs);
				backAtMs = site.nowMs + downMs;
			}, crashAfterMs);
		}
	};

	const planRun = ({input}) => ({workMs: input === 'watch' ? undefined : workMs});
	for (let index = 0; index < minions; index++) {
		await site.addMinion({service, planRun, onStart});
	}

	if (!await site.waitUntilReady(30_000)) {
		return 2;
	}

	// All agents have registered by then.
	await sleep(4000);
	const submit = async index => site.call(site.entries[0], 'POST', `${prefix}${(0x6B_0E_7A_21_D9_4B_30_00n + BigInt(index)).toString(16)}`, {
		spec: 'check', steps: [{
			count: tasksPerJob, cpu: 240, memMb: 480, estimateMs: workMs,
		}],
	});
	const answers = [];
	for (let index = 0; index < jobs; index++) {
		if (index === jobs / 2) {
			await sleep(20);
			answers.push(site.call(site.entries[0], 'POST', `${prefix}${id}`, {
				spec: 'watch', steps: [{
					count: lastingTasks, cpu: 3200, memMb: 6400, longRunning: true,
				}],
			}));
			await sleep(20);
		}

		answers.push(submit(index));
	}

	const accepted = await Promise.all(answers);
	await sleep(watchMs);
	await site.call(site.entries[1], 'GET', `${prefix}${id}`);
	if (accepted.some(({status}) => status !== 200) || (isTroubled && backAtMs === undefined)) {
		return 2;
	}

	let isBroken = false;
	for (let index = 0; index < lastingTasks; index++) {
		const taskId = `${id}.0.0.${index}`;
		const events = site.events.filter(event => event.taskId === taskId);
		if (events.length === 0) {
			return 2;
		}

		for (const [position, {type, atMs, end}] of events.entries()) {
			if (type === 'ended') {
				const untilMs = events[position + 1]?.atMs ?? site.nowMs;
				const fromMs = Math.max(atMs + resumeMs, backAtMs + calmMs);
				site.note(`${taskId} had nothing running for ${Math.round(untilMs - atMs)} ms after its run ended ${end}`);
				if (untilMs - fromMs >= idleMs) {
					isBroken = true;
					const lateMs = Math.round(untilMs - fromMs);
					site.note(`LOST: ${taskId} has nothing running for ${lateMs} ms more, from ${resumeMs} ms after that end and ${calmMs} ms after the minion is back; ${idleMs} are allowed`);
				}
			}
		}
	}

	return isBroken ? 1 : 0;
});
