#!/usr/bin/env bash
# Runs scenarios, each against its own site on loopback, and checks the recorded
# history against the guarantees of the brief. Requires a finished build.
#   scripts/scenario.sh [SEED] [SCRIPT...]    default: seed 1, scenarios/*.lua
set -euo pipefail
cd "$(dirname "$0")/.."

build_dir="${BRIARSPREAD_BUILD_DIR:-build}"
bin="$PWD/$build_dir/bin"
base="${BRIARSPREAD_BASE_PORT:-22000}"
seed="${1:-1}"
[ $# -gt 0 ] && shift
scripts=("$@")
[ ${#scripts[@]} -gt 0 ] || scripts=(scenarios/*.lua)

run_scenario() { # run_scenario SCRIPT: must run in a subshell, because it sets an EXIT trap
  out="$(mktemp -d)"
  . scripts/lib/processes.sh
  trap stop_all EXIT
  : >"$out/commands"
  site "${BRIARSPREAD_ENTRIES:-4}" >/dev/null
  "$bin/briarspread-scenario" --script="$1" --seed="$seed" \
    --processes="$processes" --commands="$out/commands" \
    --histories="$histories" &
  local runner=$! done_lines=0 word name
  pids+=("$runner")
  while kill -0 "$runner" 2>/dev/null; do
    while read -r word name; do
      [ "$word" = restart ] && restart "$name"
      done_lines=$((done_lines + 1))
    done < <(tail -n +$((done_lines + 1)) "$out/commands")
    sleep 0.1
  done
  wait "$runner"
}

failed=0
for script in "${scripts[@]}"; do
  status=0
  (run_scenario "$script") || status=$?
  [ "$status" = 0 ] || { echo "FAILED ($status): $script"; failed=$((failed + 1)); }
done
echo "${#scripts[@]} scenarios, $failed failed"
[ "$failed" = 0 ]
