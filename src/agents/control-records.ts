/**
Records of the control stream of a service: who owns it, and which agents were declared lost.
*/
import {Buffer} from 'node:buffer';
import {type AgentRegistration} from '../types/fleet.ts';
import {parseFields} from '../utils/fields.ts';

/** Topic of the control streams; the partition is that of the service. */
export const controlTopic = 'control';
/** Keyed topic of the agents' registrations. */
export const agentsTopic = 'keyed.agents';

/** Kinds of control records. */
export enum ControlType {
	Claim = 'claim',
	Lost = 'lost',
}

/** One control record. */
export type ControlRecord
	= | {type: ControlType.Claim; epoch: number; owner: string}
		/** The agent's registration at this offset no longer counts: its leases run out and are not renewed. */
		| {type: ControlType.Lost; host: string; session: number; epoch: number};

/** Encodes a record. */
export const encodeControl = (record: ControlRecord): Buffer => Buffer.from(JSON.stringify(record));

/** Decodes a record. Throws `bad-input`. */
export const decodeControl = (value: Buffer): ControlRecord => {
	const fields = parseFields(value, 'read control record');
	const type = fields.oneOf('type', Object.values(ControlType));
	const epoch = fields.count('epoch');
	return type === ControlType.Claim
		? {type, epoch, owner: fields.text('owner')}
		: {
			type, epoch, host: fields.text('host'), session: fields.count('session'),
		};
};

/** Decodes an agent's registration. Throws `bad-input`. */
export const decodeRegistration = (value: Buffer): AgentRegistration => {
	const fields = parseFields(value, 'read agent registration');
	return {
		host: fields.text('host'), address: fields.text('address'), service: fields.text('service'), failureDomain: fields.text('failureDomain'),
	};
};
