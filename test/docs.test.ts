import {readFileSync} from 'node:fs';
import {describe, expect, test} from 'vitest';
import {printSettingsPage} from '../src/core/settings.ts';
import {Metric} from '../src/types/metrics.ts';
import {RefusalReason} from '../src/types/requests.ts';

const read = (page: string) => readFileSync(page, 'utf8');

describe('documentation matches the code', () => {
	test('the settings page equals the one that the program prints', () => {
		expect(read('docs/SETTINGS.md')).toBe(printSettingsPage());
	});

	test('every counter and gauge is on the operators\' page', () => {
		const page = read('docs/OPERATIONS.md');
		expect(Object.values(Metric).filter(metric => !new RegExp(`\`${metric}[.\`]`).test(page))).toEqual([]);
	});

	test('every reason of a refusal is in the callers\' contract', () => {
		const page = read('docs/CALLERS.md');
		expect(Object.values(RefusalReason).filter(reason => !page.includes(`\`${reason}\``))).toEqual([]);
	});
});
