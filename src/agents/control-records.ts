/**
Records of a service's control stream: its owner, the agents declared lost, and the failure domains to evacuate.
*/
import {Buffer} from 'node:buffer';
import {createError, ErrorCode} from '../core/errors.ts';
import {maxEpoch} from '../core/record-limits.ts';
import {type AgentDeparture, type AgentRegistration} from '../types/fleet.ts';
import {type Evacuations} from '../types/site.ts';
import {parseFields, type Fields} from '../utils/fields.ts';
import {decodeDeparture, encodeDeparture} from './departure-records.ts';

/** Topic of the control streams; each service has its own partition. */
export const controlTopic = 'control';
/** Keyed topic of the agents' registrations. */
export const agentsTopic = 'keyed.agents';

/** Name of the operation in errors. */
const registrationStep = 'read agent registration';

/** Kinds of control records. */
export enum ControlRecordType {
	Claim = 'claim',
	Lost = 'lost',
	Evacuations = 'evacuations',
}

/** One control record. */
export type ControlRecord
	= | {type: ControlRecordType.Claim; epoch: number; owner: string}
		/** The agent's registration at this offset (`session`) is void: its leases are not renewed and expire. */
		| {type: ControlRecordType.Lost; host: string; session: number; epoch: number}
		/** Replaces an earlier record, unless that one has a higher `asOf` offset. */
		| ({type: ControlRecordType.Evacuations; epoch: number} & Evacuations);

/** Encodes a record. */
export const encodeControlRecord = (record: ControlRecord): Buffer => Buffer.from(JSON.stringify(record));

/** Decodes a record. Throws `bad-input`. */
export const decodeControlRecord = (value: Buffer): ControlRecord => {
	const fields = parseFields(value, 'read control record');
	const type = fields.oneOf('type', Object.values(ControlRecordType));
	const epoch = fields.integerUpTo('epoch', maxEpoch);
	switch (type) {
		case ControlRecordType.Claim: {
			return {type, epoch, owner: fields.string('owner')};
		}

		case ControlRecordType.Lost: {
			return {
				type, epoch, host: fields.string('host'), session: fields.nonNegativeInteger('session'),
			};
		}

		case ControlRecordType.Evacuations: {
			return {
				type, epoch, asOf: fields.nonNegativeInteger('asOf'), failureDomains: fields.array('failureDomains', decodeName),
			};
		}
	}
};

const decodeName = (value: unknown): string => {
	if (typeof value !== 'string') {
		throw createError(ErrorCode.BadInput, {step: 'read control record', detail: 'expected the name of a failure domain as a string'});
	}

	return value;
};

/**
Gets the offset of the host's first registration since all earlier leases had expired, from its previous registration. One that another writer has
replaced may give none, or one that has not come yet: then it is the registration's own.
*/
export const getFirstSession = (value: Buffer, offset: number): number => {
	try {
		return Math.min(offset, parseFields(value, registrationStep).nonNegativeInteger('firstSession', offset));
	} catch {
		return offset;
	}
};

/** Encodes an agent's registration. */
export const encodeRegistration = ({departure, ...registration}: AgentRegistration): Buffer =>
	Buffer.from(JSON.stringify({...registration, ...(departure && {departure: encodeDeparture(departure)})}));

/** One that is not valid, or of another version, is left out: owners then find that the agent is silent. */
const tryDecodeDeparture = (fields: Fields): AgentDeparture | undefined => {
	try {
		return decodeDeparture(fields.fields('departure'));
	} catch {
		return undefined;
	}
};

/** Decodes an agent's registration. Throws `bad-input`. */
export const decodeRegistration = (value: Buffer): AgentRegistration => {
	const fields = parseFields(value, registrationStep);
	return {
		host: fields.string('host'),
		address: fields.string('address'),
		service: fields.string('service'),
		failureDomain: fields.string('failureDomain'),
		firstSession: fields.has('firstSession') ? fields.nonNegativeInteger('firstSession') : undefined,
		departure: fields.has('departure') ? tryDecodeDeparture(fields) : undefined,
	};
};
