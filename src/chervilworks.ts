/**
The program: one binary, its role chosen by subcommand.
*/
import process from 'node:process';
import {runCli} from './commands/cli.ts';

const main = async (): Promise<void> => {
	process.exitCode = await runCli(process.argv.slice(2));
};

void main();
