/**
`chervilworks measure requests`: choosing, admission and retries under load and faults.
*/
import {Command, Option} from 'clipanion';
import {type MeasureOptions, type MeasureReport} from '../measure/measure-types.ts';
import {createPassThrough} from '../measure/pass-through.ts';
import {measureCpu} from '../measure/requests-cpu.ts';
import {measureRequests} from '../measure/requests-measurement.ts';
import {withExitCode} from './exit-codes.ts';
import {MeasureCommand} from './measure-command.ts';
import {runUntilSignal} from './run-until-signal.ts';

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

	readonly isCpu = Option.Boolean('--cpu', false, {description: 'Measure an entry\'s processor time beside a bare pass-through, over loopback.'});

	protected getDefaultSeconds(): number {
		return this.isCpu ? 5 : 12;
	}

	protected async measure(options: MeasureOptions): Promise<MeasureReport> {
		if (this.isCpu) {
			return measureCpu(options);
		}

		return measureRequests({
			...options, conditions: split(this.conditions), policies: split(this.policies), sites: split(this.sites),
		});
	}
}

/** Runs the bare pass-through that `--cpu` starts beside an entry. */
export class MeasurePassThroughCommand extends Command {
	static override readonly paths = [['measure', 'pass-through']];
	static override readonly usage = Command.Usage({
		description: 'Run a bare HTTP pass-through, for comparison with an entry.',
	});

	readonly address = Option.String('--address', '127.0.0.1:0', {description: 'Where to listen.'});
	readonly targets = Option.String('--targets', {description: 'Addresses to pass to, separated by commas.', required: true});

	async execute(): Promise<number> {
		return withExitCode(this.context, async () => {
			const passThrough = createPassThrough(this.targets.split(','));
			await runUntilSignal(async () => {
				await passThrough.start(this.address);
			}, async () => passThrough.stop());
		});
	}
}
