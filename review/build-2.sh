#!/bin/sh
# Builds the stand-ins that the scripts of review/4, 5 and 6 start, the project's own among them, into target/review-2/.
set -e
cd "$(dirname "$0")/.."
for number in 4 5 6; do
	if [ -f "review/$number/case.ts" ]; then
		node_modules/.bin/esbuild "review/$number/case.ts" --bundle --platform=node --target=node20 --format=cjs --log-level=warning "--outfile=target/review-2/case-$number.cjs"
	fi
done
