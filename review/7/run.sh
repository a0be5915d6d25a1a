#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption. What
# was sent, answered and run goes into record.txt.
cd "$(dirname "$0")/../.." || exit 2
number=7
[ -x "target/review-2/$number.case" ] || exit 2
folder=$(mktemp -d)
# The daemons end with the case, also when that is killed.
timeout -k 2 115 "target/review-2/$number.case" "$folder" &
child=$!
trap 'kill "$child" 2>/dev/null' TERM INT
wait "$child"
code=$?
# After a signal the case may need a moment to end.
wait "$child" 2>/dev/null
cp "$folder/record.txt" "review/$number/record.txt" 2>/dev/null
rm -rf "$folder"
[ "$code" -le 1 ] && exit "$code"
exit 2
