/**
A minion that runs a member of a gang crashes and is back after a second. The gang checkpoints its progress.
*/
import {
	runCase, sleep, type Job, type Site, type Step,
} from '../common-2/site.ts';

const service = 'huvo11a';
const queue = 'lohu930';
// One member fits on a minion.
const steps: Step[] = [{
	count: 4, cpu: 9000, memMb: 3200, estimateMs: 9000, checkpointing: true, gang: true,
}];
const workMs = [9000];
const sides = 8;
const downMs = 1000;
/** An end counts only if the disruption has been over for this long: more than three times `contactMs`. */
const calmMs = 10_000;
const watchMs = 22_000;
/** When the minion crashes, from the start of the gang's work. */
const crashesAtMs = [3100, 4100, 3100];
const startWithinMs = 8000;

type Calm = {job: Job; sinceMs: number};

/** Plays one gang; resolves to since when it is undisturbed. */
const playGang = async (site: Site, crashAtMs: number, hasTrouble: boolean): Promise<Calm> => {
	const job = await site.submit(queue, steps, workMs);
	const getMembers = () => site.sides.filter(({minion}) => minion.tasks.some(({task, workedMs}) => task.startsWith(job.id) && workedMs > 0));
	const endMs = site.nowMs + startWithinMs;
	while (getMembers().length < steps[0]!.count && site.nowMs < endMs) {
		await sleep(10);
	}

	const members = getMembers();
	if (members.length < steps[0]!.count) {
		throw new Error('the gang did not start');
	}

	await sleep(crashAtMs);
	if (hasTrouble) {
		const {minion, name} = members[1]!;
		site.note(`disruption: minion ${minion.id} on ${name} crashes, back after ${downMs} ms`);
		minion.crash(downMs);
		await sleep(downMs);
	}

	const sinceMs = site.nowMs;
	const state = await site.waitForEnd(job, watchMs);
	site.note(`job ${job.id} is ${state} ${site.nowMs - sinceMs} ms later`);
	return {job, sinceMs};
};

void runCase('5', async (site, hasTrouble) => {
	site.configure(1, [{name: queue, service, maxAttempts: 3}], [service]);
	for (let index = 0; index < sides; index++) {
		await site.addSide(service);
	}

	for (let index = 0; index < 3; index++) {
		site.addEntry();
	}

	if (!await site.waitUntilReady()) {
		throw new Error('the entries are not ready');
	}

	await sleep(3000);
	const played: Calm[] = [];
	for (const crashAtMs of crashesAtMs) {
		played.push(await playGang(site, crashAtMs, hasTrouble));
	}

	return played.flatMap(({job, sinceMs}, index) => {
		// The next gang is disturbed on its own.
		const next = played[index + 1];
		const untilMs = next ? next.sinceMs - downMs - crashesAtMs[index + 1]! : Number.POSITIVE_INFINITY;
		return site.events
			.map(event => ({...event, atMs: site.toRunTime(event.atMs)}))
			.filter(({
				task, event, how, atMs,
			}) => event === 'end' && how === 'alone' && task.startsWith(job.id) && atMs > sinceMs + calmMs && atMs < untilMs)
			.map(({task, run, atMs}) => `GANG at ${atMs} ms: ${task} run ${run} ended alone, ${atMs - sinceMs} ms after the minion was back`);
	});
});
