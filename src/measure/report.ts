/**
Prints reports, and reads an earlier one for comparison.
*/
import {readFileSync} from 'node:fs';
import {z} from 'zod';
import {createError, ErrorCode} from '../core/errors.ts';
import {createParser} from '../utils/parser.ts';
import {compareReports} from './compare.ts';
import {type MeasureReport} from './measure-types.ts';
import {formatTable} from './table.ts';

const parseReport: (value: unknown) => MeasureReport = createParser('read report', z.object({
	matter: z.string(),
	seed: z.number(),
	seconds: z.number(),
	rows: z.array(z.object({
		labels: z.record(z.string(), z.string()),
		figures: z.record(z.string(), z.number()),
	})),
	notes: z.array(z.string()),
}));

/** Reads a report that was printed as JSON. */
export const readReport = (path: string): MeasureReport => {
	try {
		return parseReport(JSON.parse(readFileSync(path, 'utf8')));
	} catch (error) {
		throw createError(ErrorCode.BadInput, {step: 'read report', peer: path, cause: error});
	}
};

/** Formats a report as lines, with the changes against an earlier one. */
export const formatReport = (report: MeasureReport, earlier?: MeasureReport): string[] => {
	const lines = [`Measured ${report.matter} with seed ${report.seed}, ${report.seconds} s each.`, '', ...formatTable(report.rows)];
	if (report.notes.length > 0) {
		lines.push('', ...report.notes);
	}

	if (earlier) {
		const changes = compareReports(earlier, report);
		lines.push('', 'Changes against the earlier report:', ...(changes.length > 0 ? changes : ['None above one per cent.']));
	}

	return lines;
};
