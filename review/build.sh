#!/bin/sh
# Bundles the stand-ins and the scripts of the cases, with the libraries that the build of the deploy file has installed.
set -e
cd "$(dirname "$0")/.."
for number in 1 2 3; do
	if [ -f "review/$number/run.js" ]; then
		node_modules/.bin/esbuild "review/$number/run.js" --bundle --platform=node --target=node20 --format=esm --log-level=warning "--banner:js=import {createRequire} from 'node:module'; const require = createRequire(import.meta.url);" "--outfile=target/review/case-$number.mjs"
	fi
done
