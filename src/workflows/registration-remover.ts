/**
Removes the registrations of agents that are gone for good, so that later owners do not wait for them. All that are due are removed by one
append, which is tried again until the store has taken it: of two removals at the same moment, the first would move the end that the second names.
*/
import {tryWriteRegistrations} from '../agents/registration-writes.ts';
import {getMessage} from '../core/errors.ts';
import {type Clock} from '../types/clock.ts';
import {AppendOutcome, type StoreClient} from '../types/store.ts';

/** Options of the remover. */
export type RegistrationRemoverOptions = {
	store: StoreClient;
	clock: Clock;
	signal: AbortSignal;
	note: (event: string, fields: Record<string, unknown>) => void;
};

const retryMs = 150;

/** Removes registrations for one owner. */
export class RegistrationRemover {
	readonly #options: RegistrationRemoverOptions;
	/** Sessions to remove, by host. */
	readonly #due = new Map<string, number>();
	#isRunning = false;

	constructor(options: RegistrationRemoverOptions) {
		this.#options = options;
	}

	/** Removes the registration of the session, unless the host has a newer one by then. */
	remove(host: string, session: number): void {
		this.#due.set(host, session);
		if (!this.#isRunning) {
			void this.#run();
		}
	}

	async #run(): Promise<void> {
		const {clock, signal} = this.#options;
		this.#isRunning = true;
		while (this.#due.size > 0 && !signal.aborted) {
			const isSettled = await this.#tryOnce(new Map(this.#due));
			if (!isSettled) {
				await clock.sleep(retryMs, signal);
			}
		}

		this.#isRunning = false;
	}

	/** Tries once to remove the registrations; resolves to whether none of them is left. */
	async #tryOnce(sessions: ReadonlyMap<string, number>): Promise<boolean> {
		const {store, note} = this.#options;
		try {
			const {hosts, outcome} = await tryWriteRegistrations(store, sessions);
			for (const host of hosts) {
				note('registration removed', {host, outcome});
			}

			if (outcome !== undefined && outcome !== AppendOutcome.Appended) {
				return false;
			}

			for (const [host, session] of sessions) {
				if (this.#due.get(host) === session) {
					this.#due.delete(host);
				}
			}

			return true;
		} catch (error) {
			note('registration not removed', {hosts: [...sessions.keys()], error: getMessage(error)});
			return false;
		}
	}
}
