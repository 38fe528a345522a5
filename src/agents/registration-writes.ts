/**
Writes to registrations of agents that are in the store. A write names the session of each and the end of the topic at which that was
read: a store may carry it out late, when the host's next agent has registered.
*/
import {type Buffer} from 'node:buffer';
import {type AppendOutcome, type PartitionRef, type StoreClient} from '../types/store.ts';
import {agentsTopic} from './control-records.ts';

/** Partition with the registrations of all agents. */
export const registrationsRef: PartitionRef = {topic: agentsTopic, partition: 0};

const storeTimeoutMs = 1000;

/** Result of one try: the registrations that were still there, and what became of them. */
export type RegistrationWriteResult = {
	hosts: string[];
	/** Undefined: none of the registrations was there any more. */
	outcome: AppendOutcome | undefined;
};

/** Tries once to replace the registrations of these sessions, by host; removes those without a new value. Throws the errors of the store. */
export const tryWriteRegistrations = async (store: StoreClient, sessions: ReadonlyMap<string, number>, createValue: () => Buffer | undefined = () => undefined): Promise<RegistrationWriteResult> => {
	const {records, endOffset} = await store.readNewest(registrationsRef);
	const hosts = records.filter(({key, offset}) => sessions.get(key) === offset).map(({key}) => key);
	if (hosts.length === 0) {
		return {hosts, outcome: undefined};
	}

	const value = createValue();
	const {outcome} = await store.appendKeyed(registrationsRef, hosts.map(key => ({key, ...(value && {value})})), {atOffset: endOffset, timeoutMs: storeTimeoutMs});
	return {hosts, outcome};
};
