#!/usr/bin/env bash
# Measures the cost of an entry instance: processor time per request, sample
# and token, control traffic cost when idle, and memory. Runs a site of three
# entry instances on loopback; the figures come from /proc of their processes.
# Requires a finished build.
#   bench/entry_cost.sh [SECONDS]        default 10
set -euo pipefail
cd "$(dirname "$0")/.."

bin="$PWD/${BRIARSPREAD_BUILD_DIR:-build}/bin"
base="${BRIARSPREAD_BASE_PORT:-23000}"
out="$(mktemp -d)"
length="${1:-10}"
export BRIARSPREAD_POLL_MS="${BRIARSPREAD_POLL_MS:-1000}" # the default
. scripts/lib/processes.sh
trap stop_all EXIT
site 3 >/dev/null
sleep 5

ticks() { # clock ticks that all entry processes have used
  local sum=0 i stat
  for i in 1 2 3; do
    read -r -a stat <"/proc/$(pid_of "entry-$i")/stat"
    sum=$((sum + stat[13] + stat[14]))
  done
  echo "$sum"
}
memory() { # resident kilobytes of the largest entry process
  local i
  for i in 1 2 3; do
    awk '/VmRSS/ { print $2 }' "/proc/$(pid_of "entry-$i")/status"
  done | sort -n | tail -n 1
}
run_load() { # run_load FLAGS...: prints the report's JSON path
  "$bin/briarspread-load" --entries="$entries" --seconds="$length" \
    --json="$out/load.json" --threads=128 "$@" >/dev/null
}
hertz=$(getconf CLK_TCK)

before=$(ticks)
sleep "$length"
idle=$(($(ticks) - before))
echo "cores $(nproc)"
python3 - "$idle" "$hertz" "$length" "$(memory)" <<'PY'
import sys
idle, hertz, length, kilobytes = map(float, sys.argv[1:])
print(f"idle: {idle / hertz / length / 3:.4f} of a core an instance, "
      f"{kilobytes / 1024:.0f} MB resident")
PY

for rate in 100 300 500; do
  before=$(ticks)
  run_load --groups=0 --quotes_per_second=0 --stock_checks_per_second="$rate"
  used=$(($(ticks) - before))
  python3 - "$used" "$idle" "$hertz" "$out/load.json" "$rate" "$(memory)" <<'PY'
import json, sys
used, idle, hertz = map(float, sys.argv[1:4])
report = json.load(open(sys.argv[4]))["classes"]["stock-check"]
micros = (used - idle) / hertz / report["calls"] * 1e6
print(f"stock checks {sys.argv[5]}/s: {micros:.0f} us of processor a call, "
      f"p50 {report['p50_ms']:.1f} ms, p99 {report['p99_ms']:.1f} ms "
      f"(the service itself takes 5 ms), {float(sys.argv[6]) / 1024:.0f} MB")
PY
done

before=$(ticks)
run_load --groups=0 --quotes_per_second=200 --stock_checks_per_second=0
used=$(($(ticks) - before))
python3 - "$used" "$idle" "$hertz" "$out/load.json" <<'PY'
import json, sys
used, idle, hertz = map(float, sys.argv[1:4])
report = json.load(open(sys.argv[4]))["classes"]["quote"]
micros = (used - idle) / hertz / report["calls"] * 1e6
print(f"quotes 200/s, at most once: {micros:.0f} us of processor a call on all "
      f"instances together, p50 {report['p50_ms']:.1f} ms, "
      f"p99 {report['p99_ms']:.1f} ms (the engine takes 16 ms)")
PY

before=$(ticks)
run_load --groups=64 --samples_per_group=8 --max_tokens=64 \
  --quotes_per_second=0 --stock_checks_per_second=0
used=$(($(ticks) - before))
python3 - "$used" "$idle" "$hertz" "$out/load.json" "$(memory)" <<'PY'
import json, sys
used, idle, hertz = map(float, sys.argv[1:4])
samples = json.load(open(sys.argv[4]))["trainer"]["samples"]
micros = (used - idle) / hertz / samples * 1e6
print(f"samples of 64 tokens: {samples} delivered, {micros:.0f} us of "
      f"processor a sample, {micros / 64:.1f} us a token, "
      f"{float(sys.argv[5]) / 1024:.0f} MB")
PY
