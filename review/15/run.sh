#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Needs the deploy file's build and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 3 115 target/review-3/case-15 review/15
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
