/**
Checkpoints of active runs in the stream, from which tasks resume when the owner and workers are lost together.
*/
import {describe, expect, it} from 'vitest';
import {RunEnd} from '../src/types/workflows.ts';
import {LiveModel} from '../src/workflows/live-model.ts';
import {RecordType} from '../src/workflows/records.ts';
import {
	createWorker, createWorkflow, load, run,
} from './site-fleet.ts';
import {createSpec, createStep} from './simulated-site.ts';

const create = () => {
	const {model, fold} = load([createWorkflow('a', createSpec([createStep({count: 2, isCheckpointing: true})]))]);
	const [task, other] = [...model.getWaitingTasks(0, () => false)];
	const worker = createWorker('x');
	run(task!, worker, {run: 3});
	run(other!, worker);
	return {model, fold, task: task!};
};

describe('checkpoints of active runs', () => {
	it('are written to the stream once each', () => {
		const {model, task} = create();
		task.checkpoint.value = 'first';
		expect(model.takeUnstoredCheckpoints()).toEqual([{taskId: 'a.0.0.0', run: 3, checkpoint: 'first'}]);
		expect(model.takeUnstoredCheckpoints()).toEqual([]);
		task.checkpoint.value = 'second';
		expect(model.takeUnstoredCheckpoints()).toHaveLength(1);
	});

	/**
	All hosts lose power within a second. The next owner finds no worker that still has the runs, and the stream held no
	checkpoints: a minute of work of every worker was repeated.
	*/
	it('are what the next owner resumes from, with a new run number', () => {
		const {fold} = create();
		fold.apply({type: RecordType.Checkpoints, runs: [{taskId: 'a.0.0.0', run: 3, checkpoint: 'saved'}]}, 1);
		const next = new LiveModel();
		next.load(fold, 0, 0);
		const [task, other] = [...next.getWaitingTasks(0, () => false)];
		expect(task).toMatchObject({checkpoint: {value: 'saved'}, lastRun: 3});
		expect(other).toMatchObject({checkpoint: {value: ''}, lastRun: 0});
	});

	it('do not change a task that has succeeded meanwhile, or add an unknown job', () => {
		const {fold} = create();
		fold.apply({
			type: RecordType.Ends, ends: [{
				taskId: 'a.0.0.0', run: 4, end: RunEnd.Done, checkpoint: '',
			}],
		}, 1);
		fold.apply({type: RecordType.Checkpoints, runs: [{taskId: 'a.0.0.0', run: 3, checkpoint: 'late'}, {taskId: 'b.0.0.0', run: 1, checkpoint: 'stray'}]}, 2);
		expect(fold.workflows.get('a')!.ledgers.get('a.0.0.0')).toMatchObject({isDone: true, lastRun: 4});
		expect(fold.workflows.has('b')).toBe(false);
	});
});
