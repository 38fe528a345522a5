/**
Runs an entry as a separate process with a stand-in store, agents and workers, and prints the processor time that it takes and what it
does in that time: `npx tsx test/perf/profile-entry.ts --workers 15 --arrivals 0.5 --seconds 25 [--share 0.07]
[--profile FOLDER] [--flags V8-FLAGS]`. `--arrivals` scales the arrival rate of the load; `--share` limits the process to that share of a
processor in each period of 100 ms.
*/
import {spawn, type ChildProcess} from 'node:child_process';
import {
	mkdtempSync, readdirSync, readFileSync, writeFileSync,
} from 'node:fs';
import {request} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {Agent} from '../../src/agents/agent.ts';
import {leaseDurationMs} from '../../src/agents/worker-lease.ts';
import {getPartition} from '../../src/core/partitions.ts';
import {schedulingLoads, generateJobs, type GeneratedJob} from '../../src/measure/scheduling-load.ts';
import {serveAgent} from '../../src/plugins/agent-messages.ts';
import {MemoryStore} from '../../src/standin/memory-store.ts';
import {InterferenceWorker} from '../../src/standin/interference-worker.ts';
import {type OrdersRequest, type WatchRequest} from '../../src/types/fleet.ts';
import {parseTaskId, RunEnd, type WorkflowStep} from '../../src/types/workflows.ts';
import {createJsonServer} from '../../src/utils/http-server.ts';
import {createRandom} from '../../src/utils/seeded-random.ts';
import {createSystemClock} from '../../src/utils/system-clock.ts';
import {serveStore} from './store-server.ts';

const {values} = parseArgs({
	options: {
		load: {type: 'string', default: 'large'},
		workers: {type: 'string', default: '15'},
		arrivals: {type: 'string', default: '0.5'},
		seconds: {type: 'string', default: '25'},
		seed: {type: 'string', default: '1'},
		share: {type: 'string'},
		profile: {type: 'string'},
		flags: {type: 'string', default: ''},
		log: {type: 'string'},
		program: {type: 'string', default: 'target/chervilworks-site.cjs'},
	},
});
const secondMs = 1000;
const stepMs = 50;
const quotaPeriodMs = 100;
const warmUpMs = 3000;
const partitions = 8;
const service = 'desk';
const clock = createSystemClock();
const seconds = Number(values.seconds);
const load = schedulingLoads.find(({name}) => name === values.load)!;
const random = createRandom(Number(values.seed));
const arrivals = Number(values.arrivals);
const offered = generateJobs({
	...load, lengthS: seconds, kinds: load.kinds.map(kind => ({...kind, arrivalsPerS: kind.arrivalsPerS * arrivals, initialCount: Math.round(kind.initialCount * arrivals)})),
}, random);
const jobs = new Map(offered.map(job => [job.id, job]));
const counts = {
	watches: 0, orders: 0, started: 0, done: 0, failed: 0, stopped: 0, accepted: 0, refused: 0,
};

/** Processor time of a process in ms, in ticks of 10 ms; 0 if the process has exited. */
const readCpuMs = (pid: number): number => {
	try {
		const [user, system] = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ').slice(11, 13).map(Number);
		return (user! + system!) * 10;
	} catch {
		return 0;
	}
};

/** Processor time of each thread in ms, main thread first. */
const readThreadsMs = (pid: number): number[] => readdirSync(`/proc/${pid}/task`).map(Number).toSorted((a, b) => a - b)
	.map(thread => Math.round(Number(readFileSync(`/proc/${pid}/task/${thread}/schedstat`, 'utf8').split(' ')[0]) / 1e6));

/** Processor time of all threads in ms, with the kernel's full resolution. */
const readExactCpuMs = (pid: number): number => {
	let sumMs = 0;
	for (const thread of readdirSync(`/proc/${pid}/task`)) {
		sumMs += Number(readFileSync(`/proc/${pid}/task/${thread}/schedstat`, 'utf8').split(' ')[0]) / 1e6;
	}

	return sumMs;
};

const findPort = async (): Promise<number> => new Promise(resolve => {
	const server = createServer();
	server.listen(0, '127.0.0.1', () => {
		const {port} = server.address() as {port: number};
		server.close(() => {
			resolve(port);
		});
	});
});

const store = new MemoryStore(clock, partitions);
const {address: storeAddress, calls} = await serveStore(store);
store.put({topic: 'keyed.op', partition: 0}, 'config', Buffer.from(JSON.stringify({
	version: 1,
	routes: load.kinds.map(kind => ({
		name: kind.name, host: 'a.example', pathPrefix: `/${kind.name}/`, service, priority: kind.priority, maxAttempts: kind.maxAttempts, stretch: kind.stretch, targetLatencyMs: kind.targetLatencyMs, timeoutMs: 3000,
	})),
	services: [{name: service}],
	limits: {},
})));
const hashToUnitInterval = (text: string): number => {
	let hash = 7;
	for (const char of text) {
		hash = Math.imul(hash ^ char.codePointAt(0)!, 16_777_619);
	}

	return (hash >>> 0) / (2 ** 32);
};

const getJob = (taskId: string): GeneratedJob => jobs.get(parseTaskId(taskId)!.workflowId)!;
const workers: InterferenceWorker[] = [];
for (let index = 0; index < Number(values.workers); index++) {
	const host = `host-${String(index).padStart(3, '0')}`;
	const milliCpu = load.workers[index % load.workers.length]!;
	const worker = new InterferenceWorker(host, {
		clock,
		interference: {
			baseLatencyMs: load.baseLatencyMs,
			getLoad(taskId, nowMs) {
				const {loadPhase, kind: {latencyCritical}} = getJob(taskId);
				return latencyCritical!.load * (1 + (latencyCritical!.loadAmplitude * Math.sin(2 * Math.PI * ((nowMs / (latencyCritical!.periodS * secondMs)) + loadPhase))));
			},
			getAddedLoad: (latencyCriticalImage, bestEffortImage) => load.addedLoads[Math.floor(hashToUnitInterval(`${latencyCriticalImage} ${bestEffortImage}`) * load.addedLoads.length)]!,
		},
		checkpointIntervalMs: 1000,
		restoreMs: 100,
		maxLeaseMs: 6000,
		report: {
			service, failureDomain: 'hall', milliCpu, memoryMb: milliCpu * 4, accelerators: 0, labels: ['a', `r1-${Math.floor(index / 3)}`],
		},
		getSimulatedTask(taskId, run) {
			const {step, index: taskIndex} = parseTaskId(taskId)!;
			const job = getJob(taskId);
			const failureDraw = hashToUnitInterval(`${taskId} ${run}`);
			return {
				spec: job.spec.steps[step]!,
				workMs: job.kind.latencyCritical ? undefined : job.workMs[step]![taskIndex]!,
				failsAt: failureDraw < job.kind.errorShare ? failureDraw / job.kind.errorShare : undefined,
			};
		},
		onStart() {
			counts.started++;
		},
		onEnd(_, end) {
			counts.done += end === RunEnd.Done ? 1 : 0;
			counts.failed += end === RunEnd.Failed ? 1 : 0;
			counts.stopped += end === RunEnd.Stopped ? 1 : 0;
		},
		onLatencySample: () => undefined,
	});
	workers.push(worker);
	const server = createJsonServer(clock);
	const address = await server.listen('127.0.0.1:0');
	const agent = new Agent({
		registration: {
			host, address, service, failureDomain: 'hall',
		},
		partition: getPartition(service, partitions),
		store: store.createClient(host),
		client: worker.createClient(),
		clock,
		life: host,
		leaseDurationMs,
		maxLeaseMs: 6000,
		note: () => undefined,
	});
	serveAgent(server, {
		async watch(request: WatchRequest, signal: AbortSignal) {
			counts.watches++;
			return agent.watch(request, signal);
		},
		async order(request: OrdersRequest) {
			counts.orders++;
			return agent.order(request);
		},
	});
	void agent.run(new AbortController().signal);
	setInterval(() => {
		agent.handleAnnouncement(worker.announce());
	}, secondMs);
	agent.handleAnnouncement(worker.announce());
}

setInterval(() => {
	for (const worker of workers) {
		worker.advance(stepMs);
	}
}, stepMs);

const ports = await Promise.all([findPort(), findPort(), findPort(), findPort()]);
const folder = mkdtempSync(join(tmpdir(), 'entry-'));
const settings = join(folder, 'settings.toml');
writeFileSync(settings, `
nodeName = "entry-1"
ip = "127.0.0.1"
zone = "hall"
internalPorts = [${ports[0]}, ${ports[1]}]
[listenAddrs]
frontendAddr = "127.0.0.1:${ports[2]}"
ready = "127.0.0.1:${ports[3]}"
[limits]
cpuShare = ${values.share ?? 1}
cores = 1
[platform]
address = "${storeAddress}"
parts = ${partitions}
minTtlMs = 1000
keep_s = 300
callBytes = 2097152
`);
const flags = [...values.flags.split(' ').filter(Boolean), ...(values.profile === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${values.profile}`, '--cpu-prof-interval=200'])];
const entry: ChildProcess = spawn(process.execPath, [...flags, values.program, 'entry'], {
	env: {...process.env, CHERVILWORKS_BOOT: settings}, stdio: ['ignore', 'pipe', 'inherit'],
});
const pid = entry.pid!;
const lines: string[] = [];
let partialLine = '';
entry.stdout!.on('data', (chunk: Buffer) => {
	const parts = (partialLine + chunk.toString()).split('\n');
	partialLine = parts.pop()!;
	lines.push(...parts);
});

/** Limits the process to a share of a processor with SIGSTOP and SIGCONT, as a CPU quota does. */
const limitToShare = (share: number): void => {
	let periodStartMs = performance.now();
	let usedAtPeriodStartMs = readExactCpuMs(pid);
	let isStopped = false;
	setInterval(() => {
		try {
			const usedMs = readExactCpuMs(pid) - usedAtPeriodStartMs;
			const nowMs = performance.now();
			if (nowMs - periodStartMs >= quotaPeriodMs) {
				periodStartMs = nowMs;
				// Use above the quota is charged to the next period.
				usedAtPeriodStartMs += Math.min(usedMs, share * quotaPeriodMs);
				if (isStopped && readExactCpuMs(pid) - usedAtPeriodStartMs < share * quotaPeriodMs) {
					isStopped = false;
					entry.kill('SIGCONT');
				}
			} else if (!isStopped && usedMs > share * quotaPeriodMs) {
				isStopped = true;
				entry.kill('SIGSTOP');
			}
		} catch {
			// The process has exited.
		}
	}, 1);
};

if (values.share !== undefined) {
	limitToShare(Number(values.share));
}

const formatStep = (step: WorkflowStep) => ({
	count: step.count, cpu: step.milliCpu, memMb: step.memoryMb, estimateMs: step.estimateMs, after: step.after, checkpointing: step.isCheckpointing, longRunning: step.isLasting, fills: step.isFilling, targetMs: step.targetMs, ...(step.image && {image: step.image}), ...(step.maxPerWorker > 0 && {antiAffinity: step.maxPerWorker}),
});
const submit = async ({id, kind, spec}: GeneratedJob): Promise<void> => new Promise(resolve => {
	const call = request({
		host: '127.0.0.1', port: ports[2], method: 'POST', path: `/${kind.name}/${id}`, headers: {host: 'a.example', 'deadline-ms': '3000'},
	}, response => {
		counts[response.statusCode === 200 ? 'accepted' : 'refused']++;
		response.resume();
		resolve();
	});
	call.on('error', () => {
		counts.refused++;
		resolve();
	});
	call.end(JSON.stringify({spec: 'text', steps: spec.steps.map(step => formatStep(step))}));
});

await clock.sleep(warmUpMs);
const startMs = performance.now();
const cpuAtStartMs = readCpuMs(pid);
for (const job of offered) {
	await clock.sleep(Math.max(0, startMs + job.atMs - performance.now()));
	void submit(job);
}

await clock.sleep(Math.max(0, startMs + (seconds * secondMs) - performance.now()));
const cpuMs = readCpuMs(pid) - cpuAtStartMs;
const threadsMs = readThreadsMs(pid);
const events = new Map<string, number>();
for (const line of lines) {
	try {
		const {msg, refusal} = JSON.parse(line) as {msg: string; refusal?: string};
		const name = refusal === undefined ? msg : `${msg}: ${refusal}`;
		events.set(name, (events.get(name) ?? 0) + 1);
	} catch {
		// An incomplete line.
	}
}

if (values.log !== undefined) {
	writeFileSync(values.log, `${lines.join('\n')}\n`);
}

process.stdout.write(`${JSON.stringify({
	seconds,
	threadsMs: threadsMs.join(' '),
	startupCpuMs: cpuAtStartMs,
	cpuMs,
	msPerStart: Number((cpuMs / counts.started).toFixed(3)),
	...counts,
	offeredTasks: offered.flatMap(({spec}) => spec.steps).reduce((sum, {count}) => sum + count, 0),
	bytes: lines.reduce((sum, {length}) => sum + length, 0),
	calls: Object.fromEntries(calls),
	events: Object.fromEntries([...events].toSorted((a, b) => b[1] - a[1]).slice(0, 14)),
}, undefined, 1)}\n`);
entry.kill('SIGCONT');
entry.kill('SIGTERM');
await new Promise(resolve => {
	entry.once('exit', resolve);
});
process.exit(0); // eslint-disable-line unicorn/no-process-exit
