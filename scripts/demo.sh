#!/usr/bin/env bash
# Demonstrates the main use on loopback with three entry instances, rollout and
# order-desk engines and plain services in two regions. Sends live calls and a
# trainer's steps at the same time, updates the weights once, and kills one entry
# instance and one engine. Exits non-zero if a guarantee of the brief is violated.
set -euo pipefail
cd "$(dirname "$0")/.."

build_dir="${BRIARSPREAD_BUILD_DIR:-build}"
[ -n "${BRIARSPREAD_SKIP_BUILD:-}" ] || scripts/build.sh "$build_dir" >&2
bin="$PWD/$build_dir/bin"
base="${BRIARSPREAD_BASE_PORT:-21000}"
out="$(mktemp -d)"
. scripts/lib/processes.sh
trap stop_all EXIT

site 3
echo 1 >"$out/version"
"$bin/briarspread-load" --entries="$entries" --seconds=16 --groups=64 \
  --samples_per_group=8 --version_file="$out/version" \
  --json="$out/report.json" >"$out/report.txt" 2>"$out/load.log" &
load=$!
pids+=("$load")
sleep 4
echo "weights: version 2 on all rollout engines"
for i in 11 12 13; do
  request $((base + i)) /admin/weights '{"version":2,"fencing":1}' POST
done
echo 2 >"$out/version"
sleep 3
echo "kill: entry-3"
kill -9 "$(pid_of entry-3)"
sleep 2
echo "kill: rollout-3"
kill -9 "$(pid_of rollout-3)"
status=0
wait "$load" || status=$?
cat "$out/report.txt"
[ "$status" = 0 ] || { tail -n 20 "$out/load.log"; exit "$status"; }
echo "demo: every promise checked was kept"
