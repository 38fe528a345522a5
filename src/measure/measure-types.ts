/**
Options and reports that all measurements share. A report consists of rows of named figures.
*/

/** One row: what was measured, and the figures. Names of figures carry their unit. */
export type MeasureRow = {
	labels: Record<string, string>;
	figures: Record<string, number>;
};

/** Report of one measurement. */
export type MeasureReport = {
	matter: string;
	seed: number;
	seconds: number;
	rows: MeasureRow[];
	/** Sentences about the figures. */
	notes: string[];
};

/** Options that all measurements share. */
export type MeasureOptions = {
	seed: number;
	/** Measured time of each run. */
	seconds: number;
	/** Called before each run. */
	onProgress: (done: number, total: number, label: string) => void;
};
