import {expect, test} from 'vitest';
import {runDemo} from '../src/standin/demo.ts';

test('requests and jobs of both users are served end to end over real sockets', async () => {
	const report = await runDemo({requestCount: 10, jobCount: 1});
	expect(report.lines.at(-1)).toBe('Every guarantee held for the requests and jobs sent.');
	expect(report.isHeld).toBe(true);
});
