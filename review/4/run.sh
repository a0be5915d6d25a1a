#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption. What was sent, answered and run
# goes into review/4/record.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-4 ] || exit 2
# The daemons end with the case, also when that is killed.
timeout -k 1 116 target/review/case-4 review/4/record.txt &
child=$!
trap 'kill "$child" 2>/dev/null' TERM INT
wait "$child"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
