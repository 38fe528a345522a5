/**
Validates decoded JSON from other processes, which may lack fields or have other types. Each message is validated where it is
decoded, so that the result matches its type.

Hand-written because loading `zod/mini` takes 0.09 s of processor time and 11 MB at each start of a process (medians of seven starts,
two of four cores busy), on hosts with 0.27 of a core.
*/
import {type Buffer} from 'node:buffer';
import {createError, ErrorCode} from '../core/errors.ts';

/** Fields of an object by name, or of an array by position. Methods throw `bad-input` for a field that is missing or has another type. */
export class Fields {
	readonly #values: Record<string | number, unknown>;
	readonly #step: string;

	constructor(value: unknown, step: string) {
		if (typeof value !== 'object' || value === null) {
			throw createError(ErrorCode.BadInput, {step, detail: 'expected an object'});
		}

		this.#values = value as Record<string | number, unknown>;
		this.#step = step;
	}

	/** The field may be missing only if there is a fallback. */
	string(key: string | number, fallback?: string): string {
		return this.#get(key, fallback, value => typeof value === 'string', 'a string');
	}

	number(key: string | number, fallback?: number): number {
		return this.#get(key, fallback, value => Number.isFinite(value), 'a number');
	}

	/** A finite number of at least 0. */
	nonNegativeNumber(key: string | number, fallback?: number): number {
		return this.#get(key, fallback, value => Number.isFinite(value) && value >= 0, 'a number of at least 0');
	}

	/** An integer of at least 0. */
	nonNegativeInteger(key: string | number, fallback?: number): number {
		return this.#get(key, fallback, value => Number.isSafeInteger(value) && value >= 0, 'an integer of at least 0');
	}

	/** An integer from 0 to `max`. */
	integerUpTo(key: string | number, max: number): number {
		return this.#get<number>(key, undefined, value => Number.isSafeInteger(value) && value >= 0 && value <= max, `an integer from 0 to ${max}`);
	}

	boolean(key: string | number, fallback?: boolean): boolean {
		return this.#get(key, fallback, value => typeof value === 'boolean', 'true or false');
	}

	/** Decodes each item of an array; empty if the field is missing. */
	array<T>(key: string | number, decode: (item: unknown) => T): T[] {
		const items: unknown[] = this.#get<unknown[]>(key, [], value => Array.isArray(value), 'a list');
		return items.map(item => decode(item));
	}

	strings(key: string | number): string[] {
		return this.array(key, item => {
			if (typeof item !== 'string') {
				throw this.#createError(key, 'a list of strings');
			}

			return item;
		});
	}

	nonNegativeIntegers(key: string | number): number[] {
		return this.array(key, item => {
			if (typeof item !== 'number' || !Number.isSafeInteger(item) || item < 0) {
				throw this.#createError(key, 'a list of integers of at least 0');
			}

			return item;
		});
	}

	/** One of the values of an enum. */
	oneOf<T extends string>(key: string | number, values: Iterable<T>): T {
		return this.#get<T>(key, undefined, value => [...values].includes(value), 'one of the known values');
	}

	fields(key: string | number): Fields {
		return new Fields(this.#values[key], this.#step);
	}

	/** Undefined if the field is missing. */
	optionalFields(key: string | number): Fields | undefined {
		return this.has(key) ? this.fields(key) : undefined;
	}

	/** Gets all fields whose values are finite numbers. */
	toNumbers(): Record<string, number> {
		return Object.fromEntries(Object.entries(this.#values).filter((entry): entry is [string, number] => Number.isFinite(entry[1])));
	}

	/** Whether the field is present; `null` counts as missing. */
	has(key: string | number): boolean {
		return Object.hasOwn(this.#values, key) && this.#values[key] !== null && this.#values[key] !== undefined;
	}

	#get<T>(key: string | number, fallback: T | undefined, isValid: (value: T) => boolean, expected: string): T {
		if (!this.has(key) && fallback !== undefined) {
			return fallback;
		}

		const value = this.#values[key] as T;
		if (!this.has(key) || !isValid(value)) {
			throw this.#createError(key, expected);
		}

		return value;
	}

	#createError(key: string | number, expected: string): Error {
		return createError(ErrorCode.BadInput, {step: this.#step, detail: `${key} is not ${expected}`});
	}
}

/** Parses JSON and wraps it in `Fields`. Throws `bad-input`. */
export const parseFields = (text: Buffer | string, step: string): Fields => {
	let value: unknown;
	try {
		value = JSON.parse(typeof text === 'string' ? text : text.toString('utf8'));
	} catch (error) {
		throw createError(ErrorCode.BadInput, {step, detail: 'not JSON', cause: error});
	}

	return new Fields(value, step);
};
