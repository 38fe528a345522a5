/**
Values that are created on first use.
*/

/** Creates a function that returns one value for each key, which it creates when the key is first asked for. */
export const createOnce = <Key, Value>(create: (key: Key) => Value): ((key: Key) => Value) => {
	const values = new Map<Key, Value>();
	return key => {
		if (!values.has(key)) {
			values.set(key, create(key));
		}

		return values.get(key)!;
	};
};
