/**
Stops the calls of a process that stands still.
*/
import {type ProcessClock} from './simulated-membership.ts';

/** Calls of a process that stands still neither leave it nor come back to it. */
export const gate = <Client extends Record<string, (...args: never[]) => Promise<unknown>>>(clock: ProcessClock, client: Client): Client => Object.fromEntries(Object.entries(client).map(([name, call]) => [name, async (...args: never[]) => {
	await clock.waitUntilRunning();
	try {
		return await call(...args);
	} finally {
		await clock.waitUntilRunning();
	}
}])) as Client;
