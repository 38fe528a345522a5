#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; without the disruption with TROUBLE=0.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review/case-3.mjs ] && [ -f target/chervilworks-site.cjs ] || exit 2
exec node target/review/case-3.mjs
