/**
Reads values that came from outside: JSON of another writer may lack fields or hold other types. Each shape is checked where
it is decoded, so that what is passed on is what its type says.

Written by hand: loading `zod/mini` costs 0.09 s of processor time and 11 MB at each start of each process (medians of seven
starts, two of four cores busy), on hosts with 0.27 of a core.
*/
import {type Buffer} from 'node:buffer';
import {createError, ErrorCode} from '../core/errors.ts';

/** Fields of an object, or of a row by its positions. Getters throw `bad-input` for a field that is missing or of another type. */
export class Fields {
	readonly #values: Record<string | number, unknown>;
	readonly #step: string;

	constructor(value: unknown, step: string) {
		if (typeof value !== 'object' || value === null) {
			throw createError(ErrorCode.BadInput, {step, detail: 'not an object'});
		}

		this.#values = value as Record<string | number, unknown>;
		this.#step = step;
	}

	/** With a fallback, the field may be missing. */
	text(key: string | number, fallback?: string): string {
		return this.#get(key, fallback, value => typeof value === 'string', 'a text');
	}

	number(key: string | number, fallback?: number): number {
		return this.#get(key, fallback, value => Number.isFinite(value), 'a number');
	}

	/** A number that is not below 0: an amount or a time. */
	amount(key: string | number, fallback?: number): number {
		return this.#get(key, fallback, value => Number.isFinite(value) && value >= 0, 'an amount');
	}

	/** A whole number that is not below 0. */
	count(key: string | number, fallback?: number): number {
		return this.#get(key, fallback, value => Number.isSafeInteger(value) && value >= 0, 'a count');
	}

	flag(key: string | number, fallback?: boolean): boolean {
		return this.#get(key, fallback, value => typeof value === 'boolean', 'true or false');
	}

	/** Decodes each item; a list that is missing is empty. */
	list<T>(key: string | number, decode: (item: unknown) => T): T[] {
		const items: unknown[] = this.#get<unknown[]>(key, [], value => Array.isArray(value), 'a list');
		return items.map(item => decode(item));
	}

	texts(key: string | number): string[] {
		return this.list(key, item => {
			if (typeof item !== 'string') {
				throw this.#createError(key, 'a list of texts');
			}

			return item;
		});
	}

	counts(key: string | number): number[] {
		return this.list(key, item => {
			if (typeof item !== 'number' || !Number.isSafeInteger(item) || item < 0) {
				throw this.#createError(key, 'a list of counts');
			}

			return item;
		});
	}

	/** One of the values of an enum. */
	oneOf<T extends string>(key: string | number, values: Iterable<T>): T {
		return this.#get<T>(key, undefined, value => [...values].includes(value), 'one of the values known');
	}

	fields(key: string | number): Fields {
		return new Fields(this.#values[key], this.#step);
	}

	/** Undefined for a field that is missing. */
	optionalFields(key: string | number): Fields | undefined {
		return this.has(key) ? this.fields(key) : undefined;
	}

	/** All fields that are numbers. */
	toNumbers(): Record<string, number> {
		return Object.fromEntries(Object.entries(this.#values).filter((entry): entry is [string, number] => Number.isFinite(entry[1])));
	}

	/** Whether the field is there; `null` counts as missing. */
	has(key: string | number): boolean {
		return Object.hasOwn(this.#values, key) && this.#values[key] !== null && this.#values[key] !== undefined;
	}

	#get<T>(key: string | number, fallback: T | undefined, isValid: (value: T) => boolean, what: string): T {
		if (!this.has(key) && fallback !== undefined) {
			return fallback;
		}

		const value = this.#values[key] as T;
		if (!this.has(key) || !isValid(value)) {
			throw this.#createError(key, what);
		}

		return value;
	}

	#createError(key: string | number, what: string): Error {
		return createError(ErrorCode.BadInput, {step: this.#step, detail: `${key} is not ${what}`});
	}
}

/** Parses JSON and gives its fields. Throws `bad-input`. */
export const parseFields = (text: Buffer | string, step: string): Fields => {
	let value: unknown;
	try {
		value = JSON.parse(typeof text === 'string' ? text : text.toString('utf8'));
	} catch (error) {
		throw createError(ErrorCode.BadInput, {step, detail: 'not JSON', cause: error});
	}

	return new Fields(value, step);
};
