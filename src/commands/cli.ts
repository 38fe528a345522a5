/**
The command line. Exit codes: 0 ok, 1 failed, 2 bad usage or settings.
*/
import process from 'node:process';
import {Builtins, Cli} from 'clipanion';
import {version} from '../utils/version.ts';
import {
	ConfigCheckCommand, ConfigDiffCommand, ConfigHistoryCommand, ConfigPublishCommand, ConfigShowCommand,
} from './config-commands.ts';
import {DemoCommand} from './demo-command.ts';
import {EntryCommand} from './entry-command.ts';
import {ExitCode} from './exit-codes.ts';
import {GuardCommand} from './guard-usage.ts';
import {
	RequestListCommand, RequestLookupCommand, StatusCommand, UpstreamDrainCommand, UpstreamListCommand, WorkerListCommand,
} from './host-commands.ts';
import {
	JobCancelCommand, JobListCommand, JobStatusCommand, JobSubmitCommand,
} from './job-commands.ts';
import {MeasureCapacityCommand} from './measure-capacity-command.ts';
import {MeasureJobsCommand} from './measure-jobs-command.ts';
import {MeasurePassThroughCommand, MeasureRequestsCommand} from './measure-requests-command.ts';
import {SettingsCommand} from './settings-command.ts';
import {StandinLogCommand, StandinUpstreamCommand, StandinWorkerCommand} from './standin-commands.ts';

const commands = [
	Builtins.HelpCommand,
	Builtins.VersionCommand,
	EntryCommand,
	GuardCommand,
	DemoCommand,
	SettingsCommand,
	ConfigCheckCommand,
	ConfigPublishCommand,
	ConfigShowCommand,
	ConfigHistoryCommand,
	ConfigDiffCommand,
	JobSubmitCommand,
	JobStatusCommand,
	JobCancelCommand,
	JobListCommand,
	UpstreamListCommand,
	UpstreamDrainCommand,
	WorkerListCommand,
	RequestLookupCommand,
	RequestListCommand,
	StatusCommand,
	MeasureRequestsCommand,
	MeasureJobsCommand,
	MeasurePassThroughCommand,
	MeasureCapacityCommand,
	StandinLogCommand,
	StandinUpstreamCommand,
	StandinWorkerCommand,
];

/** Runs the command that the arguments name; resolves to the exit code. */
export const runCli = async (argv: string[]): Promise<number> => {
	const cli = new Cli({binaryLabel: 'chervilworks', binaryName: 'chervilworks', binaryVersion: version});
	for (const command of commands) {
		cli.register(command);
	}

	let command;
	try {
		command = cli.process(argv, Cli.defaultContext);
	} catch (error) {
		process.stderr.write(cli.error(error));
		return ExitCode.BadUsage;
	}

	return cli.run(command, Cli.defaultContext);
};
