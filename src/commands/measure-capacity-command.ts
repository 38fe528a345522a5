/**
`chervilworks measure capacity`: what each role needs at the size ahead.
*/
import {Command} from 'clipanion';
import {type MeasureOptions, type MeasureReport} from '../measure/measure-types.ts';
import {MeasureCommand} from './measure-command.ts';

/** Measures what one more host, task, claim or change costs, and works out the size ahead. */
export class MeasureCapacityCommand extends MeasureCommand {
	static override readonly paths = [['measure', 'capacity']];
	static override readonly usage = Command.Usage({
		category: 'Measuring',
		description: 'Measure slopes and work out what each role needs at full size; about half a minute.',
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
