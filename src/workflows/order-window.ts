/**
Congestion window of an owner's starts: bounds the bytes of the starts that agents have not answered yet.

After a takeover or a loss of power, hundreds of tasks wait and most workers are free. All their starts at once fill a slow link
for seconds: the starts expire on their way, and the owner's heartbeats, appends and reads wait behind them, so that it loses
the partition and the next owner does the same.
*/
import {type Clock} from '../types/clock.ts';
import {type OrderedStart} from '../types/fleet.ts';
import {type LiveWorkflow} from './live-model.ts';
import {type Start} from './placement.ts';

/** A call with starts to one agent that is on its way. */
export type StartsInFlight = {
	bytes: number;
	sentAtMs: number;
	/** Whether the window was in use when it was sent: otherwise the answer says nothing about the window's size. */
	isWindowUsed: boolean;
};

/** Size of the first window. Even the slowest links carry it within the validity of a start. */
const initialWindowBytes = 32_768;
/** The window shrinks no further: some tasks of usual size must fit, or a call would be spent on each of them. */
const minWindowBytes = 16_384;
/** The window grows no further; the largest calls of a cycle to all agents fit. */
const maxWindowBytes = 8_388_608;
/** Growth of the window for each window of bytes that is answered in time, once a late call has ended the first, exponential growth. */
const growthBytes = 8192;
/** A call is late after this, unless even the fastest ones take half as long. Reads and heartbeats that wait as long still end in time. */
const lateTransitMs = 300;
/** Bound of that time to agents that even the fastest calls take long to reach. */
const maxLateTransitMs = 900;
/** Period over which the fastest call is taken. */
const fastestPeriodMs = 5000;
/** The window shrinks by at most this factor at a time. */
const maxShrinkFactor = 0.5;
/** Bytes of a start in addition to its input, checkpoint and ticket: its names and the quotes of the encoding. */
const overheadBytes = 120;

/** Estimates the bytes of an order to start tasks. */
export const getOrderBytes = (starts: OrderedStart[]): number => {
	let bytes = 0;
	for (const {input = '', checkpoint} of starts) {
		bytes += input.length + checkpoint.length + overheadBytes;
	}

	return bytes;
};

/** The window of one owner. */
export class OrderWindow {
	readonly #clock: Clock;
	#windowBytes = initialWindowBytes;
	#inFlightBytes = 0;
	/** When a late call last shrank the window; negative infinity: none did yet, and the window doubles with each window of bytes that is answered. */
	#shrunkAtMs = Number.NEGATIVE_INFINITY;
	/** Fastest calls of the present period and of the one before. */
	#fastestMs = Number.POSITIVE_INFINITY;
	#lastFastestMs = Number.POSITIVE_INFINITY;
	#periodStartedAtMs: number;

	constructor(clock: Clock) {
		this.#clock = clock;
		this.#periodStartedAtMs = clock.monotonicMs();
	}

	/** Bytes that may be on their way. */
	get sizeBytes(): number {
		return this.#windowBytes;
	}

	/** Bytes that are on their way. */
	get inFlightBytes(): number {
		return this.#inFlightBytes;
	}

	/** Whether a scheduling cycle is worth its time: for a few tasks it costs as much as for many. */
	get hasRoom(): boolean {
		return this.#inFlightBytes <= this.#windowBytes / 2;
	}

	/** Gets the starts that fit, in their order; a gang is taken whole. The first unit is taken even if it is larger than the window. */
	admit(starts: Start[]): Start[] {
		let freeBytes = this.#windowBytes - this.#inFlightBytes;
		const admitted: Start[] = [];
		const sizes = new StartSizes();
		for (const unit of groupUnits(starts)) {
			const bytes = sizes.getBytes(unit);
			const isFirst = admitted.length === 0 && this.#inFlightBytes === 0;
			if (bytes > freeBytes && !isFirst) {
				break;
			}

			freeBytes -= bytes;
			admitted.push(...unit);
		}

		return admitted;
	}

	/** Records a call with starts that is being sent. */
	recordSent(bytes: number): StartsInFlight {
		this.#inFlightBytes += bytes;
		return {bytes, sentAtMs: this.#clock.monotonicMs(), isWindowUsed: !this.hasRoom};
	}

	/**
	Records the answer to a call, which was on its way to the agent for `transitMs`; infinity: there is none. The time of the answer's way
	and handling does not count: on a host that is short of processors it is long however few starts are sent.
	*/
	recordAnswer({bytes, sentAtMs, isWindowUsed}: StartsInFlight, transitMs = Number.POSITIVE_INFINITY): void {
		this.#inFlightBytes -= bytes;
		this.#recordTransit(transitMs);
		if (!isWindowUsed) {
			return;
		}

		const lateMs = this.#getLateMs();
		if (transitMs <= lateMs) {
			this.#windowBytes = Math.min(maxWindowBytes, this.#windowBytes + (this.#shrunkAtMs === Number.NEGATIVE_INFINITY ? bytes : growthBytes * bytes / this.#windowBytes));
			return;
		}

		// Calls that were sent before the window shrank say nothing about its present size.
		if (sentAtMs >= this.#shrunkAtMs) {
			this.#shrunkAtMs = this.#clock.monotonicMs();
			this.#windowBytes = Math.max(minWindowBytes, this.#windowBytes * Math.max(maxShrinkFactor, lateMs / transitMs));
		}
	}

	#recordTransit(transitMs: number): void {
		const nowMs = this.#clock.monotonicMs();
		if (nowMs - this.#periodStartedAtMs > fastestPeriodMs) {
			this.#periodStartedAtMs = nowMs;
			this.#lastFastestMs = this.#fastestMs;
			this.#fastestMs = Number.POSITIVE_INFINITY;
		}

		this.#fastestMs = Math.min(this.#fastestMs, transitMs);
	}

	/** Calls that took longer show a queue on the way. */
	#getLateMs(): number {
		const fastestMs = Math.min(this.#fastestMs, this.#lastFastestMs);
		return Math.min(maxLateTransitMs, Math.max(lateTransitMs, Number.isFinite(fastestMs) ? 2 * fastestMs : 0));
	}
}

/** Sizes of starts that are sent together: each agent gets the input of a job once. */
class StartSizes {
	readonly #inputs = new Map<Start['worker'], Set<LiveWorkflow>>();

	/** Estimates the bytes of starts, given those counted before. */
	getBytes(starts: Start[]): number {
		let bytes = 0;
		for (const {worker, task: {checkpoint, step: {workflow}}} of starts) {
			bytes += checkpoint.value.length + overheadBytes;
			if (!this.#isInputSent(worker, workflow)) {
				bytes += workflow.spec.input.length;
			}
		}

		return bytes;
	}

	/** Whether the agent has the job's input, or gets it with an earlier start. */
	#isInputSent(worker: Start['worker'], workflow: LiveWorkflow): boolean {
		if (!worker.sentInputs) {
			return false;
		}

		const inputs = this.#inputs.get(worker) ?? new Set();
		this.#inputs.set(worker, inputs);
		const isSent = inputs.has(workflow) || worker.sentInputs.has(workflow);
		inputs.add(workflow);
		return isSent;
	}
}

/** Groups consecutive starts of one gang. */
const groupUnits = (starts: Start[]): Start[][] => {
	const units: Start[][] = [];
	for (const start of starts) {
		const last = units.at(-1);
		const {step} = start.task;
		if (step.spec.isGang && last?.[0]!.task.step === step) {
			last.push(start);
		} else {
			units.push([start]);
		}
	}

	return units;
};
