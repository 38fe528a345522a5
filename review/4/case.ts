/**
A configuration adds a route with its service, and machines of that service are added. The names of the two services have the same
partition of the store's topics.
*/
import {
	runCase, sleep, type Job, type Site, type Step,
} from '../common-2/site.ts';

const first = 'huvo11a';
const second = 'tiso48b';
const firstQueue = 'lohu930';
const secondQueue = 'pira417';
const steps: Step[] = [{
	count: 6, cpu: 240, memMb: 480, estimateMs: 900,
}];
const workMs = [900];
const submitEveryMs = 250;
const beforeMs = 8000;
const afterMs = 20_000;
const configApplyMs = 2000;

const submitFor = async (site: Site, queues: string[], forMs: number): Promise<Job[]> => {
	const jobs: Array<Promise<Job>> = [];
	const endMs = site.nowMs + forMs;
	while (site.nowMs < endMs) {
		for (const queue of queues) {
			jobs.push(site.submit(queue, steps, workMs));
		}

		await sleep(submitEveryMs);
	}

	return Promise.all(jobs);
};

void runCase('4', async (site, hasTrouble) => {
	const routes = [{name: firstQueue, service: first, maxAttempts: 3}];
	site.configure(1, routes, [first]);
	for (let index = 0; index < 3; index++) {
		await site.addSide(first);
		site.addEntry();
	}

	if (!await site.waitUntilReady()) {
		throw new Error('the entries are not ready');
	}

	await submitFor(site, [firstQueue], beforeMs);
	if (hasTrouble) {
		site.configure(2, [...routes, {name: secondQueue, service: second, maxAttempts: 3}], [first, second]);
		await site.addSide(second);
		await site.addSide(second);
		await sleep(configApplyMs);
	}

	const jobs = await submitFor(site, hasTrouble ? [firstQueue, secondQueue] : [firstQueue], afterMs);
	await Promise.all(jobs.map(async job => site.waitForEnd(job, 10_000)));
	const serviceByQueue = new Map([[firstQueue, first], [secondQueue, second]]);
	return site.events
		.filter(({event, task, service}) => event === 'start' && serviceByQueue.get(site.jobs.get(task.split('.')[0]!)!.queue) !== service)
		.map(({
			atMs, minion, service, task, run,
		}) => `ROUTE at ${site.toRunTime(atMs)} ms: ${task} run ${run} of queue ${site.jobs.get(task.split('.')[0]!)!.queue} started on minion ${minion} of ${service}, to which no configuration sends the queue`);
});
