/**
Prints rows of figures as an aligned table.
*/
import {alignColumns} from '../utils/columns.ts';
import {type MeasureRow} from './measure-types.ts';

/** Formats a figure with three significant digits, or whole. */
export const formatFigure = (value: number): string => {
	if (Number.isInteger(value) || Math.abs(value) >= 1000) {
		return value.toFixed(0);
	}

	const digits = Math.max(0, 2 - Math.floor(Math.log10(Math.abs(value))));
	return value.toFixed(Math.min(4, digits));
};

const getNames = (records: Array<Record<string, unknown>>): string[] => [...new Set(records.flatMap(record => Object.keys(record)))];

/** Formats rows as lines: labels left, figures right; a figure that a row lacks is a dash. */
export const formatTable = (rows: MeasureRow[]): string[] => {
	const labelNames = getNames(rows.map(({labels}) => labels));
	const figureNames = getNames(rows.map(({figures}) => figures));
	const cells = rows.map(({labels, figures}) => [
		...labelNames.map(name => labels[name] ?? ''),
		...figureNames.map(name => figures[name] === undefined ? '-' : formatFigure(figures[name])),
	]);
	return alignColumns([[...labelNames, ...figureNames], ...cells], labelNames.length);
};
