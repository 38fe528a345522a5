import {expect, test} from 'vitest';
import {TaskClass} from '../src/types/jobs.ts';
import {DecisionType} from '../src/types/placement.ts';
import {
	createEngine, createSpec, createTask, createWorker, enqueueJob, getEvictions, getStarts, getUnplaceable,
} from './placement-tools.ts';

test('tasks start where they fit and wait if they fit nowhere', () => {
	const engine = createEngine();
	engine.setWorker(createWorker(0));
	enqueueJob(engine, createSpec('j', {taskCount: 5}));
	expect(getStarts(engine.decide(0, 100))).toHaveLength(4);
	expect(engine.decide(10, 100)).toEqual([]);
	engine.recordEnded('j/1', true, 1000);
	expect(getStarts(engine.decide(1000, 100)).map(({taskId}) => taskId)).toEqual(['j/4']);
});

/*
The answer to a start is lost: the worker may or may not run the task. If its capacity were released at once, two tasks
could run in the capacity of one. It is released only when the end is confirmed.
*/
test('the capacity of an unanswered start stays allocated until its end is confirmed', () => {
	const engine = createEngine();
	engine.setWorker(createWorker(0));
	const wholeWorker = {processors: 16, memoryMb: 1024, accelerators: 0};
	enqueueJob(engine, createSpec('a', {resources: wholeWorker}));
	engine.decide(0, 10);
	engine.recordStartRefused('a/0', 'w0');
	engine.enqueue(createTask(createSpec('a', {resources: wholeWorker}), 0, {attempt: 1}));
	enqueueJob(engine, createSpec('b', {resources: wholeWorker}));
	expect(engine.decide(100, 10)).toEqual([]);
	engine.recordEnded('a/0', false, 5000);
	expect(getStarts(engine.decide(5000, 10))).toHaveLength(1);
});

test('replicas of a latency-critical job are spread over failure domains, then over racks', () => {
	const engine = createEngine();
	for (let number = 0; number < 11; number++) {
		engine.setWorker(createWorker(number));
	}

	enqueueJob(engine, createSpec('desk', {taskClass: TaskClass.LatencyCritical, taskCount: 6}));
	const hosts = getStarts(engine.decide(0, 100)).map(({workerId}) => createWorker(Number(workerId.slice(1))));
	const count = (name: string) => hosts.filter(({failureDomain}) => failureDomain === name).length;
	expect([count('leith-hall'), count('govan-hall'), count('grange-hall')]).toEqual([2, 2, 2]);
	expect(new Set(hosts.map(({workerId}) => workerId)).size).toBe(6);
});

test('small tasks avoid hosts with accelerators and empty hosts', () => {
	const engine = createEngine();
	engine.setWorker(createWorker(0, {capacity: {processors: 16, memoryMb: 61_440, accelerators: 4}}));
	engine.setWorker(createWorker(1));
	engine.setWorker(createWorker(2));
	enqueueJob(engine, createSpec('small', {taskCount: 4}));
	const used = new Set(getStarts(engine.decide(0, 100)).map(({workerId}) => workerId));
	expect(used.size).toBe(1);
	expect(used.has('w0')).toBe(false);
});

/*
Two gangs that need three whole workers each arrive at a fleet of four. If each took what is free and waited for the rest,
both would hold two workers for ever. One gang starts completely; the other starts when the first has ended.
*/
test('gangs start completely or not at all, and never deadlock', () => {
	const engine = createEngine();
	for (let number = 0; number < 4; number++) {
		engine.setWorker(createWorker(number));
	}

	const gang = {isGang: true, taskCount: 3, resources: {processors: 16, memoryMb: 1024, accelerators: 0}};
	enqueueJob(engine, createSpec('g1', gang));
	enqueueJob(engine, createSpec('g2', gang));
	const first = getStarts(engine.decide(0, 100));
	expect(first.map(({taskId}) => taskId)).toEqual(['g1/0', 'g1/1', 'g1/2']);
	expect(engine.decide(10_000, 100)).toEqual([]);
	for (const {taskId} of first) {
		engine.recordEnded(taskId, true, 20_000);
	}

	expect(getStarts(engine.decide(20_000, 100))).toHaveLength(3);
});

/*
A gang needs the whole fleet. Small tasks keep arriving and take each processor that becomes free, so the gang would wait
for ever. After `reserveAfterMs`, capacity is reserved for it and the small tasks wait.
*/
test('a stream of small tasks cannot starve a gang', () => {
	const engine = createEngine({reserveAfterMs: 5000});
	engine.setWorker(createWorker(0));
	engine.setWorker(createWorker(1));
	const running = new Map<string, number>();
	let gangStartedAtMs: number | undefined;
	for (let step = 0; step < 120; step++) {
		const nowMs = step * 500;
		if (step === 2) {
			enqueueJob(engine, createSpec('gang', {isGang: true, taskCount: 4, resources: {processors: 8, memoryMb: 1024, accelerators: 0}}), {queuedAtMs: nowMs});
		}

		enqueueJob(engine, createSpec(`s${step}`, {taskCount: 2, declaredRunTimeMs: 4000, resources: {processors: 4, memoryMb: 1024, accelerators: 0}}), {queuedAtMs: nowMs});
		for (const [taskId, endMs] of running) {
			if (endMs <= nowMs) {
				running.delete(taskId);
				engine.recordEnded(taskId, true, nowMs);
			}
		}

		for (const {taskId} of getStarts(engine.decide(nowMs, 100))) {
			running.set(taskId, nowMs + 4000 + ((step % 5) * 300));
			if (taskId.startsWith('gang')) {
				gangStartedAtMs ??= nowMs;
			}
		}
	}

	expect(gangStartedAtMs).toBeLessThan(15_000);
});

test('a job that fits nowhere is reported as unplaceable at once with what is missing, and retried when the fleet changes', () => {
	const engine = createEngine();
	engine.setWorker(createWorker(0));
	enqueueJob(engine, createSpec('wide', {resources: {processors: 32, memoryMb: 1024, accelerators: 1}}));
	enqueueJob(engine, createSpec('gang', {isGang: true, taskCount: 8, resources: {processors: 4, memoryMb: 1024, accelerators: 0}}));
	const unplaceable = getUnplaceable(engine.decide(0, 10));
	expect(unplaceable.map(({jobId, missing, isFinal}) => [jobId, missing, isFinal])).toEqual([
		['wide', 'one task needs 32 processors of 16, 1 accelerators of 0 on the largest worker', false],
		['gang', 'the gang needs room for 8 tasks at once; the whole fleet has room for 4', false],
	]);
	expect(engine.decide(100, 10)).toEqual([]);
	engine.setWorker(createWorker(1, {capacity: {processors: 64, memoryMb: 61_440, accelerators: 2}}));
	expect(getStarts(engine.decide(200, 20))).toHaveLength(9);
});

/*
The fleet is full of batch work when an urgent task arrives. It has to start within 3.9 s, by evicting the task that loses
the least work, and no latency-critical task.
*/
test('urgent work starts on a full fleet by the cheapest sufficient eviction', () => {
	const engine = createEngine({urgentPatienceMs: 0});
	for (let number = 0; number < 2; number++) {
		engine.setWorker(createWorker(number));
	}

	enqueueJob(engine, createSpec('service', {taskClass: TaskClass.LatencyCritical, taskCount: 2, resources: {processors: 8, memoryMb: 1024, accelerators: 0}}));
	enqueueJob(engine, createSpec('dear', {taskCount: 3}), {isCheckpointable: false});
	engine.decide(0, 100);
	enqueueJob(engine, createSpec('cheap'), {queuedAtMs: 1000});
	engine.decide(50_000, 100);
	enqueueJob(engine, createSpec('urgent', {priority: 950}), {queuedAtMs: 60_000});
	const evictions = getEvictions(engine.decide(60_000, 100));
	expect(evictions.map(({taskId, forTaskId}) => [taskId, forTaskId])).toEqual([['cheap/0', 'urgent/0']]);
	engine.recordEnded('cheap/0', false, 60_300);
	engine.enqueue(createTask(createSpec('cheap'), 0, {attempt: 1, queuedAtMs: 60_300}));
	expect(getStarts(engine.decide(60_400, 100)).map(({taskId}) => taskId)).toEqual(['urgent/0']);
	expect(engine.decide(60_500, 100)).toEqual([]);
});

test('an urgent task whose victim does not end starts on another worker', () => {
	const engine = createEngine({urgentClaimMs: 1000, urgentPatienceMs: 0});
	engine.setWorker(createWorker(0));
	engine.setWorker(createWorker(1));
	enqueueJob(engine, createSpec('batch', {taskCount: 2, resources: {processors: 16, memoryMb: 1024, accelerators: 0}}));
	engine.decide(0, 100);
	enqueueJob(engine, createSpec('urgent', {priority: 950}), {queuedAtMs: 1000});
	const [first] = getEvictions(engine.decide(1000, 100));
	const [second] = getEvictions(engine.decide(2000, 100));
	expect(second!.workerId).not.toBe(first!.workerId);
	engine.recordEnded(second!.taskId, false, 2200);
	expect(getStarts(engine.decide(2300, 100))).toMatchObject([{taskId: 'urgent/0', workerId: second!.workerId}]);
});

test('after a takeover, running tasks reported by workers hold their capacity', () => {
	const engine = createEngine();
	const spec = createSpec('old', {resources: {processors: 12, memoryMb: 1024, accelerators: 0}});
	engine.recordRunning(createTask(spec), 'w0', 0);
	engine.setWorker(createWorker(0));
	enqueueJob(engine, createSpec('new', {taskCount: 2}));
	expect(getStarts(engine.decide(0, 10))).toHaveLength(1);
});

test('a drained or lost worker gets no new tasks, and its capacity stays allocated until its tasks have ended', () => {
	const engine = createEngine();
	engine.setWorker(createWorker(0));
	enqueueJob(engine, createSpec('a'));
	engine.decide(0, 10);
	engine.setWorker(createWorker(0, {isSchedulable: false}));
	enqueueJob(engine, createSpec('b'));
	expect(getStarts(engine.decide(10, 10))).toEqual([]);
	engine.removeWorker('w0');
	engine.setWorker(createWorker(0));
	enqueueJob(engine, createSpec('c', {resources: {processors: 16, memoryMb: 1, accelerators: 0}}));
	expect(getStarts(engine.decide(20, 10)).map(({taskId}) => taskId)).toEqual(['b/0']);
});

test('a gang that was too large for the fleet starts once some of its tasks are cancelled', () => {
	const engine = createEngine();
	engine.setWorker(createWorker(0));
	enqueueJob(engine, createSpec('gang', {isGang: true, taskCount: 5}));
	expect(getUnplaceable(engine.decide(0, 10))).toHaveLength(1);
	engine.cancel('gang/2');
	expect(getStarts(engine.decide(100, 10))).toHaveLength(4);
});

test('urgent work takes the capacity of a task that ends within urgentPatienceMs and evicts nothing', () => {
	const engine = createEngine({urgentPatienceMs: 1000});
	engine.setWorker(createWorker(0));
	enqueueJob(engine, createSpec('batch', {taskCount: 5}));
	engine.decide(0, 100);
	enqueueJob(engine, createSpec('urgent', {priority: 950}), {queuedAtMs: 10_000});
	expect(engine.decide(10_000, 100)).toEqual([]);
	engine.recordEnded('batch/2', true, 10_900);
	expect(getStarts(engine.decide(10_900, 100)).map(({taskId}) => taskId)).toEqual(['urgent/0']);
});

/*
Tasks of another entry fill the only large worker for a while. If its capacity were counted as what they leave free, the job
would be reported as unplaceable, though it only has to wait.
*/
test('a job waits for capacity used by others and is not reported as unplaceable', () => {
	const engine = createEngine();
	engine.setWorker(createWorker(0, {usedByOthers: {processors: 10, memoryMb: 1024, accelerators: 0}}));
	enqueueJob(engine, createSpec('wide', {resources: {processors: 12, memoryMb: 1024, accelerators: 0}}));
	enqueueJob(engine, createSpec('small'));
	expect(engine.decide(0, 10)).toMatchObject([{type: DecisionType.Start, taskId: 'small/0'}]);
	engine.recordEnded('small/0', true, 500);
	engine.setWorker(createWorker(0, {usedByOthers: {processors: 4, memoryMb: 1024, accelerators: 0}}));
	expect(getStarts(engine.decide(1000, 10)).map(({taskId}) => taskId)).toEqual(['wide/0']);
});

const half = {processors: 8, memoryMb: 1024, accelerators: 0};

/*
One task of a gang waits with reserved capacity; then the other task fails and waits too. If the first started alone in the
reserved capacity, it would hold it and wait for the second.
*/
test('a reservation for a part of a gang is released when more of the gang returns to the queue', () => {
	const engine = createEngine({reserveAfterMs: 0});
	engine.setWorker(createWorker(0));
	const gang = createSpec('gang', {isGang: true, taskCount: 2, resources: half});
	enqueueJob(engine, gang);
	engine.decide(0, 10);
	engine.recordEnded('gang/1', false, 1000);
	enqueueJob(engine, createSpec('other', {priority: 200, resources: half}), {queuedAtMs: 1000});
	engine.enqueue(createTask(gang, 1, {attempt: 1, queuedAtMs: 1000}));
	expect(getStarts(engine.decide(1000, 10)).map(({taskId}) => taskId)).toEqual(['other/0']);
	engine.recordEnded('gang/0', false, 2000);
	engine.enqueue(createTask(gang, 0, {attempt: 1, queuedAtMs: 2000}));
	expect(engine.decide(2000, 10)).toEqual([]);
	engine.recordEnded('other/0', true, 3000);
	expect(getStarts(engine.decide(3000, 10))).toHaveLength(2);
});

test('urgent work takes free capacity that is reserved for a large task', () => {
	const engine = createEngine({reserveAfterMs: 0});
	engine.setWorker(createWorker(0));
	enqueueJob(engine, createSpec('running', {taskCount: 2, resources: half}));
	engine.decide(0, 10);
	enqueueJob(engine, createSpec('large', {resources: {...half, processors: 16}}), {queuedAtMs: 1000});
	engine.decide(1000, 10);
	engine.recordEnded('running/0', true, 2000);
	expect(engine.decide(2000, 10)).toEqual([]);
	enqueueJob(engine, createSpec('urgent', {priority: 950, resources: half}), {queuedAtMs: 3000});
	expect(getStarts(engine.decide(3000, 10)).map(({taskId}) => taskId)).toEqual(['urgent/0']);
});
