/**
Bundles the program into one CommonJS file and, with `--binary`, injects it into a copy of the Node.js executable.
*/
import {execFileSync} from 'node:child_process';
import {
	chmodSync, copyFileSync, mkdirSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import process from 'node:process';
import {build} from 'esbuild';
import {inject} from 'postject';

const bundleFile = 'dist/chervilworks.cjs';
const binaryFile = 'dist/chervilworks';
const {version} = JSON.parse(readFileSync('package.json', 'utf8'));

mkdirSync('dist', {recursive: true});
await build({
	entryPoints: ['src/chervilworks.ts'],
	outfile: bundleFile,
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	external: ['unix-dgram', 'dtrace-provider'],
	define: {
		CHERVILWORKS_VERSION: JSON.stringify(version),
		// The bundle is CommonJS, where `import.meta` does not exist.
		'import.meta.url': 'undefined',
	},
	logLevel: 'warning',
});

if (process.argv.includes('--binary')) {
	const blobFile = 'dist/sea.blob';
	const configFile = 'dist/sea.json';
	writeFileSync(configFile, JSON.stringify({main: bundleFile, output: blobFile, disableExperimentalSEAWarning: true}));
	execFileSync(process.execPath, ['--experimental-sea-config', configFile], {stdio: ['ignore', 'ignore', 'inherit']});
	rmSync(binaryFile, {force: true});
	copyFileSync(process.execPath, binaryFile);
	chmodSync(binaryFile, 0o755);
	await inject(binaryFile, 'NODE_SEA_BLOB', readFileSync(blobFile), {
		sentinelFuse: 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2',
	});
	rmSync(blobFile);
	rmSync(configFile);
}
