/**
Entry point of the program; the subcommand selects the role.
*/
import process from 'node:process';

const main = async (): Promise<void> => {
	const argv = process.argv.slice(2);
	const guardFlag = argv[0] === 'guard' && argv.length <= 3 ? argv[1] ?? '--settings' : undefined;
	if (guardFlag === '--settings') {
		// A guard runs beside every upstream, so it must not load modules that only other roles need.
		const {runGuard} = await import('./commands/guard-command.ts');
		process.exitCode = await runGuard(argv[2]);
		return;
	}

	const {runCli} = await import('./commands/cli.ts');
	process.exitCode = await runCli(argv);
};

void main();
