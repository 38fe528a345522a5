/**
Records of the control stream of a service: who owns it, and which agents were declared lost.
*/
import {Buffer} from 'node:buffer';
import {createError, ErrorCode} from '../core/errors.ts';

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
	const record = JSON.parse(value.toString('utf8')) as ControlRecord;
	if (record.type !== ControlType.Claim && record.type !== ControlType.Lost) {
		throw createError(ErrorCode.BadInput, {step: 'read control record'});
	}

	return record;
};
