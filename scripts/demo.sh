#!/usr/bin/env bash
# The main job on loopback: three entry instances, rollout and order-desk
# engines and a plain service in two regions; live calls and a trainer's steps
# together, weights change once, one entry instance and one engine are killed.
# Exits non-zero when a promise of the brief is broken.
set -euo pipefail
cd "$(dirname "$0")/.."

build_dir="${BRIARSPREAD_BUILD_DIR:-build}"
[ -n "${BRIARSPREAD_SKIP_BUILD:-}" ] || scripts/build.sh "$build_dir" >&2
bin="$PWD/$build_dir/bin"
base="${BRIARSPREAD_BASE_PORT:-21000}"
out="$(mktemp -d)"
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  [ -n "${BRIARSPREAD_KEEP:-}" ] && echo "logs in $out" >&2 || rm -rf "$out"
}
trap stop_all EXIT

platform="127.0.0.1:$base"
start() { # start NAME COMMAND...: runs it in the background, logs to $out/NAME
  local name="$1"
  shift
  "$@" >"$out/$name.log" 2>&1 &
  pids+=($!)
  declare -g "pid_${name//-/_}=$!"
}
wait_for() { # wait_for PORT PATH: until it answers 200
  for _ in $(seq 100); do
    if python3 - "$1" "$2" 2>/dev/null <<'PY'
import sys, urllib.request
urllib.request.urlopen(f"http://127.0.0.1:{sys.argv[1]}{sys.argv[2]}", timeout=1)
PY
    then return 0; fi
    sleep 0.1
  done
  echo "port $1 did not answer $2" >&2
  tail -n 5 "$out"/*.log >&2
  return 1
}
post() { # post PORT PATH JSON [METHOD]
  python3 - "$1" "$2" "$3" "${4:-POST}" <<'PY'
import sys, urllib.request
request = urllib.request.Request(f"http://127.0.0.1:{sys.argv[1]}{sys.argv[2]}",
                                 sys.argv[3].encode(), method=sys.argv[4])
urllib.request.urlopen(request, timeout=5)
PY
}

register() { # register NAME PORT ZONE REGION: what the platform does for entries
  post "$base" /v1/catalog/register "{\"ServiceID\":\"$1\",
    \"ServiceAddress\":\"127.0.0.1\",\"ServicePort\":$2,
    \"ServiceMeta\":{\"kind\":\"entry\",\"zone\":\"$3\",\"region\":\"$4\",
    \"state\":\"live\"}}" PUT
}

start platform "$bin/fake-platform" --listen="$platform"
wait_for "$base" /counts
engine() { # engine NAME PORT MODEL ZONE REGION SLOTS
  start "$1" "$bin/fake-engine" --name="$1" --listen="127.0.0.1:$2" \
    --platform="$platform" --model="$3" --zone="$4" --region="$5" --slots="$6"
}
engine rollout-1 $((base + 11)) rollout lim-a lim 16
engine rollout-2 $((base + 12)) rollout lim-b lim 16
engine rollout-3 $((base + 13)) rollout aqp-a aqp 16
engine desk-1 $((base + 21)) desk lim-a lim 16
engine desk-2 $((base + 22)) desk aqp-a aqp 16
start stock-1 "$bin/fake-service" --name=stock-1 --service=stock \
  --listen="127.0.0.1:$((base + 31))" --platform="$platform"

"$bin/briarspread-rules" --platform_port="$base" apply examples/demo/rules.txt
entries=""
entry() { # entry NAME PORT ZONE REGION
  cat >"$out/$1.json" <<JSON
{"instance": "$1", "zone": "$3", "region": "$4",
 "listen": {"host": "127.0.0.1", "port": $2},
 "platform": {"host": "127.0.0.1", "port": $base},
 "poll_interval_ms": 200, "peer_key": "demonstration-key-of-the-demo"}
JSON
  start "$1" "$bin/briarspread-entry" --settings="$out/$1.json"
  register "$1" "$2" "$3" "$4"
  entries="$entries${entries:+,}127.0.0.1:$2"
}
entry entry-1 $((base + 1)) lim-a lim
entry entry-2 $((base + 2)) lim-b lim
entry entry-3 $((base + 3)) aqp-a aqp
for i in 1 2 3; do wait_for $((base + i)) /readyz; done

echo 1 >"$out/version"
"$bin/briarspread-load" --entries="$entries" --seconds=16 --groups=64 \
  --samples_per_group=8 --version_file="$out/version" \
  --json="$out/report.json" >"$out/report.txt" 2>"$out/load.log" &
load=$!
pids+=("$load")
sleep 4
echo "weights: version 2 on all rollout engines"
for i in 11 12 13; do
  post $((base + i)) /admin/weights '{"version":2,"fencing":1}'
done
echo 2 >"$out/version"
sleep 3
echo "kill: entry-3"
kill -9 "$pid_entry_3"
sleep 2
echo "kill: rollout-3"
kill -9 "$pid_rollout_3"
status=0
wait "$load" || status=$?
cat "$out/report.txt"
[ "$status" = 0 ] || { tail -n 20 "$out/load.log"; exit "$status"; }
echo "demo: every promise checked was kept"
