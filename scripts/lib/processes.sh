# Functions that start and stop the processes of one site on loopback. Sourced by
# demo.sh, scenario.sh and soak.sh, which set bin (folder of the programs), base
# (first port) and out (folder for logs).

pids=()
processes="$out/processes"
histories="$out/histories"
platform="127.0.0.1:$base"
mkdir -p "$histories"

stop_all() { # terminates all processes in pids; kills them after 12 seconds
  local pid
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill "$pid" 2>/dev/null || true
  done
  for _ in $(seq 120); do
    [ -n "$(jobs -rp)" ] || break
    sleep 0.1
  done
  for pid in $(jobs -rp); do
    echo "pid $pid did not end on SIGTERM" >&2
    kill -9 "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  if [ -n "${BRIARSPREAD_KEEP:-}" ]; then echo "logs in $out" >&2; else rm -rf "$out"; fi
}

declare -A command_of port_of
start() { # start NAME PORT COMMAND...: runs COMMAND in the background; logs to $out/NAME.log
  local name="$1" port="$2"
  shift 2
  command_of[$name]="$(printf '%q ' "$@")"
  port_of[$name]="$port"
  "$@" >>"$out/$name.log" 2>&1 &
  pids+=($!)
  echo "$name $! $port" >>"$processes"
}

restart() { # restart NAME: starts the process again with the same command
  eval "start $1 ${port_of[$1]} ${command_of[$1]}"
}

pid_of() { # pid_of NAME: prints the process ID of the latest start
  awk -v name="$1" '$1 == name { pid = $2 } END { print pid }' "$processes"
}

wait_for() { # wait_for PORT PATH: waits until GET succeeds, at most 100 attempts
  for _ in $(seq 100); do
    if request "$1" "$2" "" GET 2>/dev/null; then return 0; fi
    sleep 0.1
  done
  echo "port $1 did not answer $2" >&2
  tail -n 5 "$out"/*.log >&2
  return 1
}

request() { # request PORT PATH BODY METHOD: fails unless the response status is 2xx
  python3 - "$@" <<'PY'
import sys, urllib.request
port, path, body, method = sys.argv[1:]
request = urllib.request.Request(f"http://127.0.0.1:{port}{path}",
                                 body.encode() or None, method=method)
urllib.request.urlopen(request, timeout=5)
PY
}

engine() { # engine NAME PORT MODEL ZONE REGION SLOTS
  start "$1" "$2" "$bin/fake-engine" --name="$1" --listen="127.0.0.1:$2" \
    --platform="$platform" --model="$3" --zone="$4" --region="$5" --slots="$6" \
    --history="$histories/$1"
}

service() { # service NAME PORT SERVICE ZONE REGION
  start "$1" "$2" "$bin/fake-service" --name="$1" --listen="127.0.0.1:$2" \
    --platform="$platform" --service="$3" --zone="$4" --region="$5" \
    --history="$histories/$1"
}

entries=""
entry() { # entry NAME PORT ZONE REGION
  cat >"$out/$1.json" <<JSON
{"instance": "$1", "zone": "$3", "region": "$4",
 "listen": {"host": "127.0.0.1", "port": $2},
 "platform": {"host": "127.0.0.1", "port": $base},
 "poll_interval_ms": ${BRIARSPREAD_POLL_MS:-200}, "peer_key": "demonstration-key-of-the-demo"}
JSON
  start "$1" "$2" "$bin/briarspread-entry" --settings="$out/$1.json"
  # On the platform, the platform itself adds new instances to the instance list.
  request "$base" /v1/catalog/register "{\"ServiceID\": \"$1\",
    \"ServiceAddress\": \"127.0.0.1\", \"ServicePort\": $2, \"ServiceMeta\":
    {\"kind\": \"entry\", \"zone\": \"$3\", \"region\": \"$4\",
     \"state\": \"live\"}}" PUT
  entries="$entries${entries:+,}127.0.0.1:$2"
}

site() { # site ENTRIES: starts the platform, engines, services and ENTRIES entry instances
  start platform "$base" "$bin/fake-platform" --listen="$platform"
  wait_for "$base" /counts
  engine rollout-1 $((base + 11)) rollout lim-a lim 16
  engine rollout-2 $((base + 12)) rollout lim-b lim 16
  engine rollout-3 $((base + 13)) rollout aqp-a aqp 16
  engine desk-1 $((base + 21)) desk lim-a lim 16
  engine desk-2 $((base + 22)) desk aqp-a aqp 16
  service stock-1 $((base + 31)) stock lim-a lim
  service stock-2 $((base + 32)) stock aqp-a aqp
  service orders-1 $((base + 41)) orders lim-b lim
  service orders-2 $((base + 42)) orders aqp-a aqp
  "$bin/briarspread-rules" --platform_port="$base" apply examples/demo/rules.txt
  local zones=("lim-a lim" "lim-b lim" "aqp-a aqp") i
  for i in $(seq "$1"); do
    # shellcheck disable=SC2086
    entry "entry-$i" $((base + i)) ${zones[$(((i - 1) % 3))]}
  done
  for i in $(seq "$1"); do wait_for $((base + i)) /readyz; done
}
