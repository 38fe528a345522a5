/**
Bundles the program for a site into one file under `target/`.
*/
import {mkdirSync} from 'node:fs';
import {build} from 'esbuild';

mkdirSync('target', {recursive: true});
await build({
	entryPoints: ['src/chervilworks-site.ts'],
	outfile: 'target/chervilworks-site.cjs',
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	logLevel: 'warning',
});
