#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 into target/review-2, from the project's own stand-ins of the soak. To be run
# after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -g -Wall -Wextra -I. -Isrc -Iinclude)
libraries=(-lev -lpthread -lspdlog -lfmt -lxxhash -lmicrohttpd -lcurl)
standins=(Cell CellPaths CellWorker CellWorkerOrders Clients GangBoard PathProxy RawHttp StoreStandin VmService)
jobs=()
for name in "${standins[@]}"; do
  g++ "${flags[@]}" -c "tests/platform/soak/$name.cpp" -o "$out/$name.o" &
  jobs+=($!)
done
g++ "${flags[@]}" -c review/standin-2/Spans.cpp -o "$out/Spans.o" &
jobs+=($!)
for source in review/{6,7,8,9,10}/Program.cpp; do
  [ -e "$source" ] || continue
  g++ "${flags[@]}" -c "$source" -o "$out/$(basename "$(dirname "$source")").case.o" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do wait "$job"; done
objects=("${standins[@]/#/$out/}" "$out/Spans")
for case in "$out"/*.case.o; do
  g++ "$case" "${objects[@]/%/.o}" target/libdotterelcove.a "${libraries[@]}" -o "${case%.case.o}.case"
done
