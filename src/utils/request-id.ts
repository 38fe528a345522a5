/**
Ids of non-idempotent requests: UUIDs of version 7, which contain their creation time.
*/
import {type Clock} from '../types/clock.ts';
import {type Random} from '../types/random.ts';

const pattern = /^([\da-f]{8})-([\da-f]{4})-7[\da-f]{3}-[89ab][\da-f]{3}-[\da-f]{12}$/;

/** Creates a request id. */
export const createRequestId = (clock: Clock, random: Random): string => {
	const timeDigits = clock.now().getTime().toString(16).padStart(12, '0');
	const randomDigits = random.id() + random.id();
	return `${timeDigits.slice(0, 8)}-${timeDigits.slice(8)}-7${randomDigits.slice(0, 3)}-8${randomDigits.slice(3, 6)}-${randomDigits.slice(6, 18)}`;
};

/** Gets the creation time of an id in milliseconds since 1970, or undefined if it is not a UUID of version 7. */
export const getRequestIdTimeMs = (requestId: string): number | undefined => {
	const match = pattern.exec(requestId.toLowerCase());
	return match ? Number.parseInt(match[1]! + match[2]!, 16) : undefined;
};
