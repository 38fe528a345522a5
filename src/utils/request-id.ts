/**
Ids of non-idempotent requests: UUIDs of version 7, which carry the time at which they were made.
*/
import {type Clock} from '../types/clock.ts';
import {type Random} from '../types/random.ts';

const pattern = /^([\da-f]{8})-([\da-f]{4})-7[\da-f]{3}-[89ab][\da-f]{3}-[\da-f]{12}$/;

/** Creates a request id. */
export const createRequestId = (clock: Clock, random: Random): string => {
	const time = clock.now().getTime().toString(16).padStart(12, '0');
	const noise = random.id() + random.id();
	return `${time.slice(0, 8)}-${time.slice(8)}-7${noise.slice(0, 3)}-8${noise.slice(3, 6)}-${noise.slice(6, 18)}`;
};

/** Gets the time at which the id was made, in milliseconds since 1970, or undefined when it is no such id. */
export const getRequestIdTimeMs = (requestId: string): number | undefined => {
	const match = pattern.exec(requestId.toLowerCase());
	return match ? Number.parseInt(match[1]! + match[2]!, 16) : undefined;
};
