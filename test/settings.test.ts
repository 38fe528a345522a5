import {describe, expect, test} from 'vitest';
import {
	checkSettings, createSettings, formatIssue, loadSettings, printSettings,
} from '../src/core/settings.ts';

describe('settings', () => {
	test('the printed defaults are valid and parse to the defaults', () => {
		const {settings, issues} = checkSettings(printSettings(), 'printed');
		expect(issues).toEqual([]);
		expect(settings).toEqual(createSettings());
	});

	test('a misspelt key, a value out of range and an unknown section are all reported, with the nearest name', () => {
		const {issues} = checkSettings('[log]\ntimeoutMS = 5\nretentionMs = -1\n[enrty]\nx = 1\n', 'a.ini');
		expect(issues.map(issue => formatIssue(issue))).toEqual([
			'a.ini: [log] timeoutMS = 5: no such key; did you mean timeoutMs?',
			'a.ini: [enrty]: no such section; did you mean entry?',
			expect.stringMatching(/a\.ini: \[log] retentionMs = -1: a whole number from 1000 to \d+/) as string,
		]);
	});

	test('a key outside any section is reported', () => {
		expect(checkSettings('id = 1\n', 'a.ini').issues).toHaveLength(1);
	});

	test.each(['clydeside', 'authority'])('the example of %s is valid', name => {
		expect(loadSettings(`settings/${name}.ini`).process.region).not.toBe('local');
	});

	test('the error for an unreadable file names the file', () => {
		expect(() => loadSettings('no-such-file.ini')).toThrow(/no-such-file/);
	});
});
