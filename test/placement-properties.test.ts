import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {TaskClass, type JobSpec} from '../src/types/jobs.ts';
import {
	DecisionType, EvictionReason, type PendingTask, type PlacementWorker,
} from '../src/types/placement.ts';
import {type Resources} from '../src/types/platform.ts';
import {
	createEngine, createSpec, createTask, createWorker,
} from './placement-tools.ts';

const settings = {
	reserveAfterMs: 2000, quotaReturnMs: 3000, urgentClaimMs: 1000, evictionsPerMinute: 1000, harmSettleMs: 1000,
};
const stepMs = 200;

type Running = {task: PendingTask; workerId: string; resources: Resources; endMs: number; isEvicting: boolean};

type Step
	= | {type: 'submit'; team: number; size: number; count: number; isGang: boolean; priority: number; isLatencyCritical: boolean; runMs: number}
		| {type: 'cancel'; pick: number}
		| {type: 'refuse'; pick: number}
		| {type: 'worker'; number: number; state: 'schedulable' | 'unschedulable' | 'lost'}
		| {type: 'usage'; pick: number; slowdown: number; ratio: number}
		| {type: 'pass'; steps: number};

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
	{
		weight: 5, arbitrary: fc.record({
			type: fc.constant('submit' as const), team: fc.nat(2), size: fc.constantFrom(1, 2, 4, 8, 16), count: fc.integer({min: 1, max: 6}),
			isGang: fc.boolean(), priority: fc.constantFrom(10, 100, 950), isLatencyCritical: fc.boolean(), runMs: fc.integer({min: 200, max: 6000}),
		}),
	},
	{weight: 1, arbitrary: fc.record({type: fc.constant('cancel' as const), pick: fc.nat(50)})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('refuse' as const), pick: fc.nat(50)})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('worker' as const), number: fc.nat(4), state: fc.constantFrom('schedulable' as const, 'unschedulable' as const, 'lost' as const)})},
	{
		weight: 2, arbitrary: fc.record({
			type: fc.constant('usage' as const), pick: fc.nat(50), slowdown: fc.double({min: 0.5, max: 4, noNaN: true}), ratio: fc.double({min: 0.1, max: 2, noNaN: true}),
		}),
	},
	{weight: 6, arbitrary: fc.record({type: fc.constant('pass' as const), steps: fc.integer({min: 1, max: 20})})},
);

/** Simulated fleet that executes the engine's decisions and checks each of them. */
class SimulatedFleet {
	readonly engine = createEngine(settings);
	readonly workers = new Map<string, PlacementWorker>();
	readonly running = new Map<string, Running>();
	readonly waiting = new Map<string, PendingTask>();
	readonly unplaceable = new Set<string>();
	nowMs = 0;
	jobs = 0;

	constructor() {
		for (let number = 0; number < 4; number++) {
			this.setWorker(createWorker(number));
		}
	}

	setWorker(worker: PlacementWorker): void {
		this.workers.set(worker.workerId, worker);
		this.engine.setWorker(worker);
	}

	submit(step: Extract<Step, {type: 'submit'}>): void {
		const spec: JobSpec = createSpec(`j${this.jobs++}`, {
			team: `team-${step.team}`, taskCount: step.count, isGang: step.isGang, priority: step.priority, kind: `kind-${step.size}`,
			taskClass: step.isLatencyCritical ? TaskClass.LatencyCritical : TaskClass.Batch,
			resources: {processors: step.size, memoryMb: 1024, accelerators: 0}, declaredRunTimeMs: step.runMs,
		});
		for (let index = 0; index < step.count; index++) {
			this.enqueue(createTask(spec, index, {queuedAtMs: this.nowMs}));
		}
	}

	enqueue(task: PendingTask): void {
		this.waiting.set(task.taskId, task);
		this.engine.enqueue(task);
	}

	end(running: Running, isSuccess: boolean): void {
		const {task} = running;
		this.running.delete(task.taskId);
		this.engine.recordEnded(task.taskId, isSuccess, this.nowMs);
		if (!isSuccess) {
			this.enqueue({...task, attempt: task.attempt + 1, queuedAtMs: this.nowMs});
		}
	}

	decide(): void {
		const decisions = this.engine.decide(this.nowMs, 50);
		const started: Running[] = [];
		for (const decision of decisions) {
			switch (decision.type) {
				case DecisionType.Start: {
					started.push(this.start(decision));
					break;
				}

				case DecisionType.Evict: {
					this.evict(decision);
					break;
				}

				case DecisionType.Unplaceable: {
					expect(decision.isFinal).toBe(false);
					this.unplaceable.add(decision.jobId);
					break;
				}

				case DecisionType.Throttle: {
					expect(this.running.get(decision.taskId)?.workerId).toBe(decision.workerId);
					break;
				}
			}
		}

		this.checkGangs(started);
	}

	evict({taskId, workerId, reason, forTaskId}: {taskId: string; workerId: string; reason: EvictionReason; forTaskId?: string}): void {
		const victim = this.running.get(taskId)!;
		expect(victim.workerId).toBe(workerId);
		expect(victim.isEvicting).toBe(false);
		victim.isEvicting = true;
		victim.endMs = Math.min(victim.endMs, this.nowMs + 400);
		if (reason === EvictionReason.Urgent) {
			expect(victim.task.spec.priority).toBeLessThan(this.waiting.get(forTaskId!)!.spec.priority);
		}
	}

	start({taskId, workerId, resources}: {taskId: string; workerId: string; resources: Resources}): Running {
		const task = this.waiting.get(taskId)!;
		expect(task).toBeDefined();
		const worker = this.workers.get(workerId)!;
		expect(worker.isSchedulable).toBe(true);
		let used = resources.processors;
		for (const other of this.running.values()) {
			used += other.workerId === workerId ? other.resources.processors : 0;
		}

		expect(used).toBeLessThanOrEqual(worker.capacity.processors + 1e-6);
		this.waiting.delete(taskId);
		const running = {
			task, workerId, resources, endMs: this.nowMs + task.spec.declaredRunTimeMs, isEvicting: false,
		};
		this.running.set(taskId, running);
		return running;
	}

	checkGangs(started: Running[]): void {
		for (const {task: {spec}} of started) {
			if (spec.isGang) {
				const left = [...this.waiting.values()].filter(task => task.spec.jobId === spec.jobId);
				expect(left).toEqual([]);
			}
		}
	}

	pass(steps: number): void {
		for (let step = 0; step < steps; step++) {
			this.nowMs += stepMs;
			for (const running of this.running.values()) {
				if (running.endMs <= this.nowMs) {
					this.end(running, !running.isEvicting);
				}
			}

			this.decide();
		}
	}

	run(step: Step): void {
		const pick = (index: number) => [...this.running.values()][index % Math.max(1, this.running.size)];
		switch (step.type) {
			case 'submit': {
				this.submit(step);
				return;
			}

			case 'pass': {
				this.pass(step.steps);
				return;
			}

			case 'cancel': {
				const task = [...this.waiting.values()][step.pick % Math.max(1, this.waiting.size)];
				if (task) {
					this.waiting.delete(task.taskId);
					this.engine.cancel(task.taskId);
				}

				return;
			}

			case 'refuse': {
				const running = pick(step.pick);
				if (running && !running.isEvicting) {
					this.engine.recordStartRefused(running.task.taskId, running.workerId);
					this.end(running, false);
				}

				return;
			}

			case 'usage': {
				const running = pick(step.pick);
				if (running) {
					this.engine.recordUsage(running.task.taskId, {
						measuredAtMs: this.nowMs, processors: running.resources.processors * step.ratio, memoryMb: 512, slowdown: step.slowdown,
					});
				}

				return;
			}

			case 'worker': {
				this.changeWorker(step.number, step.state);
			}
		}
	}

	changeWorker(number: number, state: 'schedulable' | 'unschedulable' | 'lost'): void {
		const worker = createWorker(number, {isSchedulable: state === 'schedulable'});
		if (state !== 'lost') {
			this.setWorker(worker);
			return;
		}

		this.engine.removeWorker(worker.workerId);
		this.workers.delete(worker.workerId);
		for (const running of this.running.values()) {
			if (running.workerId === worker.workerId) {
				this.end(running, false);
			}
		}
	}

	/** Tells whether the waiting tasks of the job could run on the empty fleet. */
	fitsOnEmptyFleet({jobId, isGang, resources}: JobSpec): boolean {
		const count = isGang ? [...this.waiting.values()].filter(({spec}) => spec.jobId === jobId).length : 1;
		let fits = 0;
		for (const {capacity} of this.workers.values()) {
			fits += Math.floor(capacity.processors / resources.processors);
		}

		return fits >= count;
	}

	/** Makes all workers schedulable and runs until all tasks have ended. */
	runToEnd(): void {
		for (let number = 0; number < 5; number++) {
			this.setWorker(createWorker(number));
		}

		for (let round = 0; round < 400 && this.waiting.size + this.running.size > 0; round++) {
			this.pass(5);
		}
	}
}

describe('whatever happens to tasks and workers', () => {
	/*
	Capacity, gangs and priorities of victims are checked at each decision. At the end every task must have run that was
	neither cancelled nor reported as unplaceable.
	*/
	test('no worker is overcommitted, gangs start completely, only lower priority is evicted, no task is lost', () => {
		fc.assert(fc.property(fc.array(stepArbitrary, {minLength: 5, maxLength: 40}), steps => {
			const fleet = new SimulatedFleet();
			for (const step of steps) {
				fleet.run(step);
			}

			fleet.runToEnd();
			for (const {spec} of fleet.waiting.values()) {
				expect(fleet.fitsOnEmptyFleet(spec)).toBe(false);
				expect(fleet.unplaceable).toContain(spec.jobId);
			}
		}), {numRuns: 300, seed: 20_261});
	});
});

/*
One task of a running gang is evicted and capacity is reserved for it; then the other task fails and waits too. If the two
started separately, the second one first, each would hold capacity while it waits for the other.
*/
test('tasks of a gang that return to the queue one after the other start together', () => {
	const fleet = new SimulatedFleet();
	const submit = (size: number, count: number, priority: number, runMs: number) => {
		fleet.submit({
			type: 'submit', team: 0, size, count, isGang: priority === 10, priority, isLatencyCritical: false, runMs,
		});
	};

	submit(8, 2, 10, 1801);
	fleet.pass(8);
	submit(16, 3, 950, 401);
	fleet.run({
		type: 'usage', pick: 15, slowdown: 0.5, ratio: 1.25,
	});
	submit(2, 1, 950, 200);
	submit(1, 5, 950, 200);
	fleet.run({type: 'cancel', pick: 4});
	fleet.run({type: 'refuse', pick: 0});
	fleet.run({type: 'worker', number: 0, state: 'schedulable'});
	fleet.runToEnd();
	expect(fleet.waiting.size).toBe(0);
});

describe('on a full fleet', () => {
	/*
	Batch work of any sizes fills the fleet, and evictions take up to 400 ms to be confirmed. Urgent tasks that fit on the
	fleet together must start within 3.9 s.
	*/
	test('urgent work starts within 3.9 s', () => {
		fc.assert(fc.property(
			fc.array(fc.constantFrom(1, 2, 4, 8, 16), {minLength: 20, maxLength: 60}),
			fc.array(fc.constantFrom(1, 2, 4, 8, 16), {minLength: 1, maxLength: 4}),
			(batch, urgent) => {
				const fleet = new SimulatedFleet();
				for (const size of batch) {
					fleet.submit({
						type: 'submit', team: 0, size, count: 2, isGang: false, priority: 100, isLatencyCritical: false, runMs: 100_000,
					});
				}

				fleet.pass(3);
				for (const size of urgent) {
					fleet.submit({
						type: 'submit', team: 1, size, count: 1, isGang: false, priority: 950, isLatencyCritical: false, runMs: 100_000,
					});
				}

				fleet.pass(19);
				expect([...fleet.waiting.values()].filter(({spec}) => spec.priority === 950)).toEqual([]);
			},
		), {numRuns: 100, seed: 20_262});
	});

	/*
	One team fills the fleet beyond its quota, then another submits work within its own. Borrowed capacity must be reclaimed
	within `quotaReturnMs` plus the time to evict, and never more than the other team needs.
	*/
	test('no team keeps more than its quota while another waits within its own', () => {
		fc.assert(fc.property(fc.constantFrom(1, 2, 4), fc.constantFrom(1, 2, 4), (borrowed, requested) => {
			const fleet = new SimulatedFleet();
			for (const team of [0, 1]) {
				fleet.engine.setQuota(`team-${team}`, {processors: 32, memoryMb: 122_880, accelerators: 0}, 1);
			}

			const submit = (team: number, size: number, count: number) => {
				fleet.submit({
					type: 'submit', team, size, count, isGang: false, priority: 100, isLatencyCritical: false, runMs: 1_000_000,
				});
			};

			submit(0, borrowed, 64 / borrowed);
			fleet.pass(2);
			expect(fleet.waiting.size).toBe(0);
			submit(1, requested, 64 / requested);
			fleet.pass(40);
			const getAllocated = (team: string) => [...fleet.running.values()].filter(({task}) => task.spec.team === team).reduce((sum, {resources}) => sum + resources.processors, 0);
			expect([getAllocated('team-0'), getAllocated('team-1')]).toEqual([32, 32]);
			const evicted = [...fleet.waiting.values()].filter(({attempt}) => attempt > 0);
			fleet.pass(40);
			expect([...fleet.waiting.values()].filter(({attempt}) => attempt > 0)).toEqual(evicted);
		}), {numRuns: 9, seed: 20_263});
	});
});
