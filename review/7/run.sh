#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
number=7
folder=$(mktemp -d)
timeout -k 5 112 "target/review-2/$number.case" "$folder"
code=$?
cp "$folder/record.txt" "review/$number/record.txt" 2>/dev/null
rm -rf "$folder"
[ "$code" -le 1 ] && exit "$code"
exit 2
