/**
Compares a report with an earlier one of the same measurement.
*/
import {type MeasureReport, type MeasureRow} from './measure-types.ts';
import {formatFigure} from './table.ts';

const getKey = ({labels}: MeasureRow): string => Object.entries(labels).map(([name, value]) => `${name}=${value}`).toSorted().join(' ');

/** Changes smaller than this share are not listed. */
const smallestShownChange = 0.01;

const formatChange = (name: string, before: number, after: number): string => {
	const percent = before === 0 ? '' : ` (${after >= before ? '+' : ''}${(100 * ((after / before) - 1)).toFixed(1)}%)`;
	return `${name} ${formatFigure(before)} -> ${formatFigure(after)}${percent}`;
};

/** Lists, for each row of both reports, the figures that changed by more than one per cent. */
export const compareReports = (earlier: MeasureReport, later: MeasureReport): string[] => {
	const lines: string[] = [];
	if (earlier.seed !== later.seed || earlier.seconds !== later.seconds) {
		lines.push(`Seeds or durations differ: ${earlier.seed} and ${earlier.seconds} s before, ${later.seed} and ${later.seconds} s now.`);
	}

	const earlierRows = new Map(earlier.rows.map(row => [getKey(row), row]));
	for (const row of later.rows) {
		const key = getKey(row);
		const known = earlierRows.get(key);
		earlierRows.delete(key);
		if (!known) {
			lines.push(`${key}: new`);
			continue;
		}

		const changes = Object.entries(row.figures)
			.filter(([name, value]) => known.figures[name] !== undefined && isChanged(known.figures[name], value))
			.map(([name, value]) => formatChange(name, known.figures[name]!, value));
		if (changes.length > 0) {
			lines.push(`${key}: ${changes.join(', ')}`);
		}
	}

	return [...lines, ...[...earlierRows.keys()].map(key => `${key}: no longer measured`)];
};

const isChanged = (before: number, after: number): boolean =>
	Math.abs(after - before) > smallestShownChange * Math.max(Math.abs(before), Math.abs(after));
