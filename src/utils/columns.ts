/**
Formats rows of cells as text with aligned columns.
*/

/** Aligns the cells of the first `leftCount` columns left and those of the others right; without a count, all left. */
export const alignColumns = (lines: string[][], leftCount = Number.POSITIVE_INFINITY): string[] => {
	const widths = lines[0]!.map((_, column) => Math.max(...lines.map(line => line[column]?.length ?? 0)));
	return lines.map(line => line
		.map((cell, column) => column < leftCount ? cell.padEnd(widths[column]!) : cell.padStart(widths[column]!))
		.join('  ')
		.trimEnd());
};
