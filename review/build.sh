#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review. Needs the packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
compile() { g++ -std=c++20 -O1 -Wall -Wextra -pthread -I. -c "$1" -o "$2"; }
jobs_started=()
objects=()
for source in review/standin/*.cpp; do
  object=target/review/$(basename "$source" .cpp).o
  objects+=("$object")
  compile "$source" "$object" &
  jobs_started+=($!)
done
cases=()
for source in review/[0-9]*/Case.cpp; do
  number=$(basename "$(dirname "$source")")
  cases+=("$number")
  compile "$source" "target/review/case-$number.o" &
  jobs_started+=($!)
done
for job in "${jobs_started[@]}"; do wait "$job"; done
for number in "${cases[@]}"; do
  g++ -pthread "target/review/case-$number.o" "${objects[@]}" -o "target/review/case-$number"
done
compile review/entries/LateCall.cpp target/review/late-call.o
g++ -pthread target/review/late-call.o "${objects[@]}" -o target/review/late-call
