/**
`chervilworks measure requests`: choosing, admission and retries under load and faults.
*/
import {Command, Option} from 'clipanion';
import {type MeasureOptions, type MeasureReport} from '../measure/measure-types.ts';
import {measureRequests} from '../measure/requests-measurement.ts';
import {MeasureCommand} from './measure-command.ts';

const split = (value: string | undefined): string[] | undefined => value?.split(',').map(item => item.trim());

/** Measures the ways of serving requests against each other. */
export class MeasureRequestsCommand extends MeasureCommand {
	static override readonly paths = [['measure', 'requests']];
	static override readonly usage = Command.Usage({
		description: 'Measure the choice of upstreams, admission and retries against simpler ways, in each condition.',
		examples: [
			['Keep the figures', 'chervilworks measure requests --seed 1 --json > before.json'],
			['Compare a change with them', 'chervilworks measure requests --seed 1 --compare before.json'],
			['One condition', 'chervilworks measure requests --conditions slow-host --policies chervilworks,random'],
		],
	});

	readonly conditions = Option.String('--conditions', {description: 'Conditions, separated by commas; all by default.'});
	readonly policies = Option.String('--policies', {description: 'Policies, separated by commas.'});
	readonly sites = Option.String('--sites', {description: 'Sites, separated by commas; both by default.'});

	protected getDefaultSeconds(): number {
		return 12;
	}

	protected async measure(options: MeasureOptions): Promise<MeasureReport> {
		return measureRequests({
			...options, conditions: split(this.conditions), policies: split(this.policies), sites: split(this.sites),
		});
	}
}
