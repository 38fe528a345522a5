/**
Validates untyped input with `zod` schemas.
*/
import {z} from 'zod';
import {createError, ErrorCode} from '../core/errors.ts';

/** Creates a function that validates a value against the schema and throws `bad-input` with all issues. */
export const createParser = <Output>(step: string, schema: z.ZodType<Output>): (value: unknown) => Output => value => {
	const parsed = schema.safeParse(value);
	if (!parsed.success) {
		throw createError(ErrorCode.BadInput, {step, detail: z.prettifyError(parsed.error)});
	}

	return parsed.data;
};
