/**
`chervilworks measure …`: measures the product with stand-ins on simulated time. Each subject is one subclass.
*/
import process from 'node:process';
import {Command, Option} from 'clipanion';
import {createError, ErrorCode} from '../core/errors.ts';
import {type MeasureOptions, type MeasureReport} from '../measure/measure-types.ts';
import {formatReport, readReport} from '../measure/report.ts';
import {ExitCode, withExitCode} from './exit-codes.ts';

/** Base of all measurements: options, progress, output and comparison. */
export abstract class MeasureCommand extends Command {
	readonly seed = Option.String('--seed', '1', {description: 'Seed; the same seed gives the same decisions.'});
	readonly seconds = Option.String('--seconds', {description: 'Measured time of each run, in seconds.'});
	readonly compare = Option.String('--compare', {description: 'Earlier report, in JSON, to compare with.'});
	readonly isJson = Option.Boolean('--json', false, {description: 'Print JSON.'});

	async execute(): Promise<number> {
		return withExitCode(this.context, async () => {
			const earlier = this.compare === undefined ? undefined : readReport(this.compare);
			const report = await this.measure({
				seed: parsePositiveNumber('--seed', this.seed),
				seconds: this.seconds === undefined ? this.getDefaultSeconds() : parsePositiveNumber('--seconds', this.seconds),
				onProgress: (done, total, label) => {
					this.context.stderr.write(process.stderr.isTTY ? `\r\u001B[K${done}/${total} ${label}` : `${done}/${total} ${label}\n`);
				},
			});
			this.context.stderr.write('\n');
			this.context.stdout.write(this.isJson ? `${JSON.stringify(report, undefined, '\t')}\n` : `${formatReport(report, earlier).join('\n')}\n`);
			return ExitCode.Ok;
		});
	}

	protected abstract getDefaultSeconds(): number;

	protected abstract measure(options: MeasureOptions): Promise<MeasureReport>;
}

/** Parses an option's value as a number above 0; throws `BadInput` otherwise. */
export const parsePositiveNumber = (option: string, value: string): number => {
	const number = Number(value);
	if (!Number.isFinite(number) || number <= 0) {
		throw createError(ErrorCode.BadInput, {step: 'read options', peer: option, detail: `expected a number above 0, got ${value}`});
	}

	return number;
};
