/**
Groups and counts by key.
*/

/** Groups items by key, in the order in which the keys first occur. */
export const groupBy = <Key, Item>(items: Iterable<Item>, getKey: (item: Item) => Key): Map<Key, Item[]> => {
	const groups = new Map<Key, Item[]>();
	for (const item of items) {
		const key = getKey(item);
		const group = groups.get(key);
		if (group) {
			group.push(item);
		} else {
			groups.set(key, [item]);
		}
	}

	return groups;
};

/** Adds counts to totals, key by key. */
export const addCounts = <Key>(totals: Map<Key, number>, counts: Iterable<readonly [Key, number]>): void => {
	for (const [key, count] of counts) {
		totals.set(key, (totals.get(key) ?? 0) + count);
	}
};
