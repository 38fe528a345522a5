/**
Records of the control stream of a service: who owns it, which agents were declared lost, and which failure domains are evacuated.
*/
import {Buffer} from 'node:buffer';
import {createError, ErrorCode} from '../core/errors.ts';
import {type AgentRegistration} from '../types/fleet.ts';
import {type Evacuations} from '../types/site.ts';
import {parseFields} from '../utils/fields.ts';

/** Topic of the control streams; the partition is that of the service. */
export const controlTopic = 'control';
/** Keyed topic of the agents' registrations. */
export const agentsTopic = 'keyed.agents';

/** Kinds of control records. */
export enum ControlType {
	Claim = 'claim',
	Lost = 'lost',
	Evacuations = 'evacuations',
}

/** One control record. */
export type ControlRecord
	= | {type: ControlType.Claim; epoch: number; owner: string}
		/** The agent's registration at this offset no longer counts: its leases run out and are not renewed. */
		| {type: ControlType.Lost; host: string; session: number; epoch: number}
		/** Replaces what an earlier record says, unless that one holds up to a higher offset. */
		| ({type: ControlType.Evacuations; epoch: number} & Evacuations);

/** Encodes a record. */
export const encodeControl = (record: ControlRecord): Buffer => Buffer.from(JSON.stringify(record));

/** Decodes a record. Throws `bad-input`. */
export const decodeControl = (value: Buffer): ControlRecord => {
	const fields = parseFields(value, 'read control record');
	const type = fields.oneOf('type', Object.values(ControlType));
	const epoch = fields.count('epoch');
	switch (type) {
		case ControlType.Claim: {
			return {type, epoch, owner: fields.text('owner')};
		}

		case ControlType.Lost: {
			return {
				type, epoch, host: fields.text('host'), session: fields.count('session'),
			};
		}

		case ControlType.Evacuations: {
			return {
				type, epoch, asOf: fields.count('asOf'), failureDomains: fields.list('failureDomains', decodeName),
			};
		}
	}
};

const decodeName = (value: unknown): string => {
	if (typeof value !== 'string') {
		throw createError(ErrorCode.BadInput, {step: 'read control record', detail: 'a name is no text'});
	}

	return value;
};

/** Decodes an agent's registration. Throws `bad-input`. */
export const decodeRegistration = (value: Buffer): AgentRegistration => {
	const fields = parseFields(value, 'read agent registration');
	return {
		host: fields.text('host'), address: fields.text('address'), service: fields.text('service'), failureDomain: fields.text('failureDomain'),
	};
};
