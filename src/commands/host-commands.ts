/**
`chervilworks upstream …`, `worker …`, `request …` and `status`: state that an entry reports.
*/
import {Command, Option} from 'clipanion';
import {type UpstreamAnnouncement, type WorkerAnnouncement} from '../types/announcements.ts';
import {type ClaimStatus} from '../types/services.ts';
import {withExitCode} from './exit-codes.ts';
import {formatTable, OperatorCommand} from './operator-command.ts';

/** Lists upstreams. */
export class UpstreamListCommand extends OperatorCommand {
	static override readonly paths = [['upstream', 'list']];
	static override readonly usage = Command.Usage({
		category: 'Hosts',
		description: 'List the upstreams that announced themselves.',
		examples: [['List upstreams', 'chervilworks upstream list']],
	});

	async execute(): Promise<number> {
		return withExitCode(this.context, async () => {
			const reply = await this.ask<{upstreams: UpstreamAnnouncement[]}>('GET', '/v1/upstreams', 'list upstreams');
			const rows = reply.upstreams.map(({upstreamId, service, state, address, region, failureDomain, slots}) =>
				[upstreamId, service, state, address, `${region}/${failureDomain}`, String(slots)]);
			this.print(reply, formatTable(['upstream', 'service', 'state', 'address', 'place', 'slots'], rows));
		});
	}
}

/** Drains an upstream. */
export class UpstreamDrainCommand extends OperatorCommand {
	static override readonly paths = [['upstream', 'drain']];
	static override readonly usage = Command.Usage({
		category: 'Hosts',
		description: 'Send an upstream no new requests until it is restarted. Requests in progress are finished.',
		examples: [['Drain one', 'chervilworks upstream drain lading-desk-3']],
	});

	readonly id = Option.String({name: 'id'});

	async execute(): Promise<number> {
		return withExitCode(this.context, async () => {
			const reply = await this.ask<{isAccepted: boolean; reason?: string}>('POST', `/v1/upstreams/${encodeURIComponent(this.id)}/drain`, 'drain upstream');
			this.print(reply, reply.isAccepted ? `${this.id} is draining.` : `Refused: ${reply.reason}`);
		});
	}
}

/** Lists workers. */
export class WorkerListCommand extends OperatorCommand {
	static override readonly paths = [['worker', 'list']];
	static override readonly usage = Command.Usage({
		category: 'Hosts',
		description: 'List the workers that are alive.',
		examples: [['List workers', 'chervilworks worker list']],
	});

	async execute(): Promise<number> {
		return withExitCode(this.context, async () => {
			const reply = await this.ask<{workers: WorkerAnnouncement[]}>('GET', '/v1/workers', 'list workers');
			const rows = reply.workers.map(({workerId, address, region, failureDomain, rack, capacity}) => [
				workerId, address, `${region}/${failureDomain}/${rack}`, String(capacity.processors), String(capacity.memoryMb), String(capacity.accelerators),
			]);
			this.print(reply, formatTable(['worker', 'address', 'place', 'processors', 'memoryMb', 'accelerators'], rows));
		});
	}
}

/** Looks up a request by its id. */
export class RequestLookupCommand extends OperatorCommand {
	static override readonly paths = [['request', 'lookup']];
	static override readonly usage = Command.Usage({
		category: 'Requests',
		description: 'Show the state of a non-idempotent request.',
		examples: [['Look one up', 'chervilworks request lookup 0190a1b2-c3d4-7e5f-8a6b-7c8d9e0f1a2b']],
	});

	readonly id = Option.String({name: 'id'});

	async execute(): Promise<number> {
		return withExitCode(this.context, async () => {
			const claim = await this.ask<ClaimStatus>('GET', `/v1/requests/${encodeURIComponent(this.id)}`, 'look up request');
			this.print(claim, `${claim.requestId}: ${claim.state}, claimed by ${claim.entryId} at ${claim.claimedAt}${claim.status === undefined ? '' : `, status ${claim.status}`}.`);
		});
	}
}

/** Lists requests whose outcome is not known. */
export class RequestListCommand extends OperatorCommand {
	static override readonly paths = [['request', 'list']];
	static override readonly usage = Command.Usage({
		category: 'Requests',
		description: 'List the non-idempotent requests whose outcome is not known, oldest first.',
		examples: [['List them', 'chervilworks request list']],
	});

	async execute(): Promise<number> {
		return withExitCode(this.context, async () => {
			const reply = await this.ask<{requests: ClaimStatus[]}>('GET', '/v1/requests?state=open', 'list requests');
			const rows = reply.requests.map(({requestId, service, state, entryId, claimedAt}) => [requestId, service, state, entryId, claimedAt]);
			this.print(reply, formatTable(['request', 'service', 'state', 'entry', 'claimed'], rows));
		});
	}
}

/** Shows the state of an entry. */
export class StatusCommand extends OperatorCommand {
	static override readonly paths = [['status']];
	static override readonly usage = Command.Usage({
		category: 'Hosts',
		description: 'Show the identity, the counters and the state of each component of an entry.',
		examples: [['Ask an entry', 'chervilworks status --entry 127.0.0.1:7081']],
	});

	async execute(): Promise<number> {
		return withExitCode(this.context, async () => {
			const status = await this.ask<Record<string, unknown>>('GET', '/statusz', 'get status');
			this.print(status, JSON.stringify(status, undefined, 2));
		});
	}
}
