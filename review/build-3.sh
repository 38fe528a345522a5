#!/usr/bin/env bash
# Builds the stand-ins of the scripts in this folder's cases 7 to 11. They are plain JavaScript: checking their syntax is all there is to build.
set -euo pipefail
cd "$(dirname "$0")"
for file in common-3/*.js [0-9]*/case.js; do
	node --check "$file"
done
