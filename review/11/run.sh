#!/usr/bin/env bash
# Plays the case and writes to record.txt beside it what was sent, answered and run. Exits with 1 if the rule was broken,
# 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out. Needs the deploy file's build and
# review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
record=review/11/record.txt
rm -f "$record"
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
trap 'kill "$program" 2>/dev/null; wait "$program"; exit 2' TERM INT
# The daemons end with the program that started them.
timeout -k 3 112 target/review-3/case-11 review/11 &
program=$!
wait "$program"
code=$?
[ -s "$record" ] || exit 2
[ "$code" -le 1 ] && exit "$code"
exit 2
