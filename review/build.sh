#!/usr/bin/env bash
# Builds the stand-ins and the programs of all cases into target/review/.
set -euo pipefail
cd "$(dirname "$0")"

out=../target/review
flags=(-std=c++20 -O1 -Wall -Wextra -I..)
mkdir -p "$out"
pids=()
for source in common/*.cc; do
  g++ "${flags[@]}" -c "$source" -o "$out/$(basename "$source" .cc).o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
pids=()
for source in */case.cc; do
  g++ "${flags[@]}" "$source" "$out"/*.o -pthread \
    -o "$out/case-$(dirname "$source")" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
