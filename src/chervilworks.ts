/**
The program: one binary, its role chosen by subcommand.
*/
import process from 'node:process';

const main = async (): Promise<void> => {
	const argv = process.argv.slice(2);
	const guardFlag = argv[0] === 'guard' && argv.length <= 3 ? argv[1] ?? '--settings' : undefined;
	if (guardFlag === '--settings') {
		// The guard stands beside every upstream: it must not load what only the other roles need.
		const {runGuard} = await import('./commands/guard-command.ts');
		process.exitCode = await runGuard(argv[2]);
		return;
	}

	const {runCli} = await import('./commands/cli.ts');
	process.exitCode = await runCli(argv);
};

void main();
