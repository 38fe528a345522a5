/**
Suspends the calls of a paused simulated process.
*/
import {type ProcessClock} from './simulated-membership.ts';

/** Wraps a client: while the process is paused, it neither sends calls nor handles responses. */
export const createPausableClient = <Client extends Record<string, (...args: never[]) => Promise<unknown>>>(clock: ProcessClock, client: Client): Client => Object.fromEntries(Object.entries(client).map(([name, call]) => [name, async (...args: never[]) => {
	await clock.waitUntilRunning();
	try {
		return await call(...args);
	} finally {
		await clock.waitUntilRunning();
	}
}])) as Client;
