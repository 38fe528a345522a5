/**
`chervilworks standin log|upstream|worker`: stand-ins for the platform's log and hosts, for trials and tests.
*/
import {Command, Option} from 'clipanion';
import {type HostEvent} from '../standin/host-events.ts';
import {type StandinHost} from '../standin/hosts.ts';
import {createLogger, enableLogs, LogNamespace} from '../utils/logger.ts';
import {createRandom} from '../utils/seeded-random.ts';
import {createSystemClock} from '../utils/system-clock.ts';
import {withExitCode} from './exit-codes.ts';
import {runUntilSignal} from './run-until-signal.ts';

const log = createLogger(LogNamespace.Standin);

/** Serves the stand-in log. */
export class StandinLogCommand extends Command {
	static override readonly paths = [['standin', 'log']];
	static override readonly usage = Command.Usage({
		category: 'Trying out',
		description: 'Run a stand-in for the platform log.',
		examples: [['Run on the default port', 'chervilworks standin log --address 127.0.0.1:7090']],
	});

	readonly address = Option.String('--address', '127.0.0.1:7090', {description: 'Address to listen on.'});

	async execute(): Promise<number> {
		return withExitCode(this.context, async () => {
			const {MemoryLog} = await import('../standin/memory-log.ts');
			const {createLogServer} = await import('../standin/log-server.ts');
			enableLogs();
			const clock = createSystemClock();
			const server = createLogServer(new MemoryLog(clock, createRandom()), clock);
			await runUntilSignal(async () => {
				log('Stand-in log listening on %s.', await server.listen(this.address));
			}, async () => server.close());
		});
	}
}

abstract class HostCommand extends Command {
	readonly address = Option.String('--address', '127.0.0.1:0', {description: 'Address to listen on.'});
	readonly entries = Option.String('--entries', '127.0.0.1:7081', {description: 'Control addresses of entries, separated by commas.'});
	readonly id = Option.String('--id', {description: 'Name of the host.', required: true});
	readonly isObserved = Option.Boolean('--events', false, {description: 'Write events to stdout as lines of JSON.'});
	readonly lingerMs = Option.String('--linger-ms', '0', {description: 'How long the host continues to serve after it has announced that it leaves.'});
	readonly region = Option.String('--region', 'local', {description: 'Region of the host.'});
	readonly failureDomain = Option.String('--failure-domain', 'local-1', {description: 'Failure domain of the host.'});

	async execute(): Promise<number> {
		return withExitCode(this.context, async () => {
			enableLogs();
			const host = await this.createHost();
			await runUntilSignal(async () => {
				log('%s listening on %s.', this.id, await host.start());
			}, async () => host.stop());
		});
	}

	abstract createHost(): Promise<StandinHost>;

	protected getHostOptions() {
		return {
			id: this.id,
			address: this.address,
			entryAddresses: this.entries.split(','),
			region: this.region,
			failureDomain: this.failureDomain,
			clock: createSystemClock(),
			random: createRandom(),
			lingerMs: Number(this.lingerMs),
			observe: this.isObserved ? (event: HostEvent) => this.context.stdout.write(`${JSON.stringify(event)}\n`) : undefined,
		};
	}
}

/** Runs a stand-in upstream. */
export class StandinUpstreamCommand extends HostCommand {
	static override readonly paths = [['standin', 'upstream']];
	static override readonly usage = Command.Usage({
		category: 'Trying out',
		description: 'Run a stand-in upstream.',
		examples: [['Announce to a local entry', 'chervilworks standin upstream --id desk-1 --service lading-desk']],
	});

	readonly service = Option.String('--service', {description: 'Service that the upstream serves.', required: true});

	async createHost(): Promise<StandinHost> {
		const {createUpstreamHost} = await import('../standin/hosts.ts');
		return createUpstreamHost({...this.getHostOptions(), service: this.service, getServiceMs: path => path.includes('long') ? 200 : 5});
	}
}

/** Runs a stand-in worker. */
export class StandinWorkerCommand extends HostCommand {
	static override readonly paths = [['standin', 'worker']];
	static override readonly usage = Command.Usage({
		category: 'Trying out',
		description: 'Run a stand-in worker.',
		examples: [['Announce to a local entry', 'chervilworks standin worker --id worker-1']],
	});

	readonly rack = Option.String('--rack', 'rack-1', {description: 'Rack of the worker.'});

	async createHost(): Promise<StandinHost> {
		const {createWorkerHost} = await import('../standin/hosts.ts');
		return createWorkerHost({...this.getHostOptions(), rack: this.rack});
	}
}
