/**
What a stand-in worker is created with: its behaviour, the faults that it injects into orders, and the events that it reports.
*/
import {type Clock} from '../types/clock.ts';
import {type WorkerReport, type WorkerStart} from '../types/fleet.ts';
import {type RunEnd} from '../types/workflows.ts';
import {type RunPlan} from './run-plan.ts';
import {type WorkerGangs} from './worker-gangs.ts';

/** Events of runs, for the checks of tests; `forgotten` means that the agent has acknowledged the end. */
export type WorkerEvent
	= | {type: 'started'; taskId: string; run: number; workerId: string; atMs: number}
		| {type: 'ended'; taskId: string; run: number; workerId: string; end: RunEnd | 'lost'; atMs: number}
		| {type: 'forgotten'; taskId: string; run: number; workerId: string; end: RunEnd; atMs: number};

/** Faults to inject into an order. */
export enum OrderFault {
	None = 'none',
	/** The order is executed, but its response is lost. */
	LoseAnswer = 'lose-answer',
	/** The order gets no response and is executed some seconds later. */
	ExecuteLate = 'do-late',
	/** The order never arrives. */
	Drop = 'drop',
	/** The worker is unhealthy: it refuses the order and does nothing. */
	Refuse = 'refuse',
}

/** Options of a worker. */
export type SiteWorkerOptions = {
	clock: Clock;
	report: Omit<WorkerReport, 'sequence' | 'workerId' | 'isDraining'>;
	plan: (start: WorkerStart) => RunPlan;
	onEvent: (event: WorkerEvent) => void;
	maxLeaseMs: number;
	stopMs: number;
	/** Gangs of the site; undefined: members of gangs work by themselves. */
	gangs?: WorkerGangs;
};
