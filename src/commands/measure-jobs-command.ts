/**
`chervilworks measure jobs`: placement compared with simpler policies, its rate and the size of its state.
*/
import {Command, Option} from 'clipanion';
import {measureJobs} from '../measure/jobs-measurement.ts';
import {type MeasureOptions, type MeasureReport} from '../measure/measure-types.ts';
import {MeasureCommand, parsePositiveNumber} from './measure-command.ts';

/** Measures placement. */
export class MeasureJobsCommand extends MeasureCommand {
	static override readonly paths = [['measure', 'jobs']];
	static override readonly usage = Command.Usage({
		description: 'Compare placement with first fit, best fit, random of two and placement that ignores interference, on both users\' fleets; measure its rate and state size.',
		examples: [
			['Save the measurements', 'chervilworks measure jobs --seed 1 --json > before.json'],
			['Compare a change with them', 'chervilworks measure jobs --seed 1 --compare before.json'],
			['More seeds, no large fleets', 'chervilworks measure jobs --seed 4 --repeats 6 --workers 11'],
		],
	});

	readonly repeats = Option.String('--repeats', '3', {description: 'Number of seeds for each row.'});
	readonly workers = Option.String('--workers', '11,100,1000,5000', {description: 'Fleet sizes for rate and state size, in workers, separated by commas.'});

	protected getDefaultSeconds(): number {
		return 1800;
	}

	protected async measure(options: MeasureOptions): Promise<MeasureReport> {
		return measureJobs({
			...options,
			repeats: parsePositiveNumber('--repeats', this.repeats),
			fleetSizes: this.workers.split(',').map(size => parsePositiveNumber('--workers', size)),
		});
	}
}
