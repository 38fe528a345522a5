/**
Suspends the calls of a paused simulated process.
*/
import {type ProcessClock} from './membership-world.ts';

/** Wraps a client: while the process is paused, it neither sends calls nor handles responses. */
export const gate = <Client extends Record<string, (...args: never[]) => Promise<unknown>>>(clock: ProcessClock, client: Client): Client => Object.fromEntries(Object.entries(client).map(([name, call]) => [name, async (...args: never[]) => {
	await clock.ready();
	try {
		return await call(...args);
	} finally {
		await clock.ready();
	}
}])) as Client;
