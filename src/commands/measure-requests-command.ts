/**
`chervilworks measure requests`: choice of upstreams, admission and retries under load and faults.
*/
import {Command, Option} from 'clipanion';
import {type MeasureOptions, type MeasureReport} from '../measure/measure-types.ts';
import {createPassThrough} from '../measure/pass-through.ts';
import {measureCpu} from '../measure/requests-cpu.ts';
import {measureRequests} from '../measure/requests-measurement.ts';
import {withExitCode} from './exit-codes.ts';
import {MeasureCommand} from './measure-command.ts';
import {runUntilSignal} from './run-until-signal.ts';

const splitList = (value: string | undefined): string[] | undefined => value?.split(',').map(item => item.trim());

/** Compares policies for serving requests. */
export class MeasureRequestsCommand extends MeasureCommand {
	static override readonly paths = [['measure', 'requests']];
	static override readonly usage = Command.Usage({
		description: 'Compare the choice of upstreams, admission and retries with simpler policies, in each condition.',
		examples: [
			['Save the measurements', 'chervilworks measure requests --seed 1 --json > before.json'],
			['Compare a change with them', 'chervilworks measure requests --seed 1 --compare before.json'],
			['One condition', 'chervilworks measure requests --conditions slow-host --policies chervilworks,random'],
		],
	});

	readonly conditions = Option.String('--conditions', {description: 'Conditions, separated by commas; all by default.'});
	readonly policies = Option.String('--policies', {description: 'Policies, separated by commas.'});
	readonly sites = Option.String('--sites', {description: 'Sites, separated by commas; both by default.'});

	readonly isCpu = Option.Boolean('--cpu', false, {description: 'Compare the processor time of an entry with that of a bare pass-through, over loopback.'});

	protected getDefaultSeconds(): number {
		return this.isCpu ? 5 : 12;
	}

	protected async measure(options: MeasureOptions): Promise<MeasureReport> {
		if (this.isCpu) {
			return measureCpu(options);
		}

		return measureRequests({
			...options, conditions: splitList(this.conditions), policies: splitList(this.policies), sites: splitList(this.sites),
		});
	}
}

/** Runs the bare pass-through that `--cpu` compares with an entry. */
export class MeasurePassThroughCommand extends Command {
	static override readonly paths = [['measure', 'pass-through']];
	static override readonly usage = Command.Usage({
		description: 'Run a bare HTTP pass-through, for comparison with an entry.',
	});

	readonly address = Option.String('--address', '127.0.0.1:0', {description: 'Address to listen on.'});
	readonly targets = Option.String('--targets', {description: 'Addresses to forward requests to, separated by commas.', required: true});

	async execute(): Promise<number> {
		return withExitCode(this.context, async () => {
			const passThrough = createPassThrough(this.targets.split(','));
			await runUntilSignal(async () => {
				await passThrough.start(this.address);
			}, async () => passThrough.stop());
		});
	}
}
