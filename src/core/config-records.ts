/**
Schemas of the records in the configuration stream.
*/
import {z} from 'zod';
import {
	ConfigRecordType, ConfigVerdict, type ConfigRecord, type ConfigSnapshot,
} from '../types/config.ts';
import {type LogRecord} from '../types/platform.ts';
import {createParser} from '../utils/parser.ts';
import {createError, ErrorCode, getMessage} from './errors.ts';

const maxNameLength = 128;
const name = z.string().min(1).max(maxNameLength);
const offset = z.number().int();
const values = z.record(z.string(), z.string());
const snapshotSchema = z.object({
	type: z.literal(ConfigRecordType.Snapshot),
	id: name,
	upToOffset: offset,
	sections: z.array(z.object({name: z.string(), offset, values: values.optional()})),
	owners: z.array(z.object({
		service: z.string(), region: z.string(), previousRegion: z.string().optional(), offset,
	})),
	results: z.array(z.object({
		id: z.string(),
		author: z.string(),
		offset,
		verdict: z.enum(ConfigVerdict),
		sections: z.array(z.string()),
		reason: z.string().optional(),
		winnerId: z.string().optional(),
		winnerAuthor: z.string().optional(),
	})),
});
const recordSchema = z.discriminatedUnion('type', [
	snapshotSchema,
	z.object({
		type: z.literal(ConfigRecordType.Publish),
		id: name,
		author: z.string().max(maxNameLength),
		publishedAt: z.string().max(maxNameLength),
		sections: z.record(z.string(), z.object({baseOffset: offset, values: values.optional()})),
	}),
	z.object({
		type: z.literal(ConfigRecordType.Move), id: name, service: name, region: name, baseOffset: offset, entryId: name,
	}),
]);
const parseRecordValue = createParser('read config record', recordSchema);

/** Validates a snapshot received from a peer. Throws `bad-input`. */
export const parseConfigSnapshot: (value: unknown) => ConfigSnapshot = createParser('read config snapshot', snapshotSchema);

/** Validates a record of the stream. Throws `bad-input` that names the offset. */
export const parseConfigRecord = (record: LogRecord): ConfigRecord => {
	try {
		return parseRecordValue(record.value);
	} catch (error) {
		throw createError(ErrorCode.BadInput, {
			step: 'read config record', peer: `offset ${record.offset}`, detail: getMessage(error),
		});
	}
};
