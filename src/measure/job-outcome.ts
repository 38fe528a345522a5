/**
Outcome of a job for its caller, as days and simulations count it.
*/

/** How a job ended. */
export enum JobOutcome {
	InTime = 'inTime',
	/** Within three times the objective: callers can still use it. */
	Late = 'late',
	TooLate = 'tooLate',
	/** Not before the end of the day or simulation. */
	Open = 'open',
	/** Failed or cancelled. */
	Other = 'other',
}
