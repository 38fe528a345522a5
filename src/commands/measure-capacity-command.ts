/**
`chervilworks measure capacity`: resources that each role needs at the planned full size.
*/
import {Command} from 'clipanion';
import {type MeasureOptions, type MeasureReport} from '../measure/measure-types.ts';
import {MeasureCommand} from './measure-command.ts';

/** Measures the cost of one more host, task, claim or change, and extrapolates to the planned full size. */
export class MeasureCapacityCommand extends MeasureCommand {
	static override readonly paths = [['measure', 'capacity']];
	static override readonly usage = Command.Usage({
		category: 'Measuring',
		description: 'Measure how costs grow with size and extrapolate what each role needs at full size; takes about half a minute.',
		examples: [['The table of docs/CAPACITY.md', 'chervilworks measure capacity']],
	});

	protected getDefaultSeconds(): number {
		return 1;
	}

	protected async measure(options: MeasureOptions): Promise<MeasureReport> {
		const {reportCapacity} = await import('../measure/capacity-measurement.ts');
		return reportCapacity(options);
	}
}
