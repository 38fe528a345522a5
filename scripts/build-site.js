/**
Bundles the program for a site into one file under `target/`. For trials, mechanisms of the scheduling policy can be disabled:
`node scripts/build-site.js --without value-order,unserved-room` (names: `Mechanism` in src/workflows/policy.ts).
*/
import {mkdirSync} from 'node:fs';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {build} from 'esbuild';

const {values: {without}} = parseArgs({args: process.argv.slice(2), options: {without: {type: 'string', default: ''}}});

mkdirSync('target', {recursive: true});
await build({
	entryPoints: ['src/chervilworks-site.ts'],
	outfile: 'target/chervilworks-site.cjs',
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	logLevel: 'warning',
	define: {LEFT_OUT: JSON.stringify(without)},
});
