/**
Exit codes of all commands.
*/
import {type BaseContext} from 'clipanion';
import {ErrorCode, getMessage, isError} from '../core/errors.ts';

/** What a command's exit code means. */
export enum ExitCode {
	Ok = 0,
	Failed = 1,
	BadUsage = 2,
}

/** Runs the action; turns an error into its message on stderr and an exit code. */
export const withExitCode = async (context: BaseContext, action: () => Promise<ExitCode | void>): Promise<ExitCode> => {
	try {
		return await action() ?? ExitCode.Ok;
	} catch (error) {
		context.stderr.write(`${getMessage(error)}\n`);
		const isUsage = isError(error, ErrorCode.BadSettings) || isError(error, ErrorCode.BadInput);
		return isUsage ? ExitCode.BadUsage : ExitCode.Failed;
	}
};
