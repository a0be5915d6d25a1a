#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15 into target/review-3, after the build of the deploy file. They use the
# stand-ins of tests/platform/soak and review/standin-3, and of the product only the library's base modules.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
soak=tests/platform/soak
sources=("$soak/RawHttp.cpp" "$soak/StoreStandin.cpp" "$soak/CellWorker.cpp" "$soak/CellWorkerOrders.cpp"
  "$soak/GangBoard.cpp" review/standin-3/*.cpp)
for source in "${sources[@]}"; do
  g++ -std=c++20 -O1 -g -Wall -Wextra -I src -I . -c "$source" -o "$out/$(basename "$source" .cpp).o" &
done
for job in $(jobs -p); do wait "$job"; done
for case in review/1[1-5]; do
  [ -f "$case/Case.cpp" ] || continue
  g++ -std=c++20 -O1 -g -Wall -Wextra -I src -I . "$case/Case.cpp" "$out"/*.o target/libdotterelcove.a -pthread \
    -o "$out/case-$(basename "$case")"
done
# Programs for findings that are no cases; REPORT-3.md tells how to run them.
for entry in review/entries-3/*.cpp; do
  g++ -std=c++20 -O1 -g -Wall -Wextra -I src -I . "$entry" "$out"/*.o target/libdotterelcove.a -pthread \
    -o "$out/$(basename "$entry" .cpp)"
done
