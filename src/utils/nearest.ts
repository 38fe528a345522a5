/**
Finds the known word with the smallest edit distance to a misspelt one.
*/

const maxDistance = 3;

/** Gets the nearest known word within three edits, or undefined. */
export const getNearest = (word: string, known: Iterable<string>): string | undefined => {
	let nearest: string | undefined;
	let nearestDistance = maxDistance + 1;
	for (const candidate of known) {
		const distance = getEditDistance(word.toLowerCase(), candidate.toLowerCase());
		if (distance < nearestDistance) {
			nearestDistance = distance;
			nearest = candidate;
		}
	}

	return nearest;
};

const getEditDistance = (a: string, b: string): number => {
	let previous = Array.from({length: b.length + 1}, (_, index) => index);
	for (let i = 1; i <= a.length; i++) {
		const current = [i];
		for (let j = 1; j <= b.length; j++) {
			const substitution = previous[j - 1]! + (a[i - 1] === b[j - 1] ? 0 : 1);
			current.push(Math.min(substitution, previous[j]! + 1, current[j - 1]! + 1));
		}

		previous = current;
	}

	return previous[b.length]!;
};
