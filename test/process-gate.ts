/**
Stops the calls of a process that stands still.
*/
import {type ProcessClock} from './membership-world.ts';

/** Calls of a process that stands still neither leave it nor come back to it. */
export const gate = <Client extends Record<string, (...args: never[]) => Promise<unknown>>>(clock: ProcessClock, client: Client): Client => Object.fromEntries(Object.entries(client).map(([name, call]) => [name, async (...args: never[]) => {
	await clock.ready();
	try {
		return await call(...args);
	} finally {
		await clock.ready();
	}
}])) as Client;
