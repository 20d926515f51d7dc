#!/usr/bin/env bash
# Compares the cost of a request and of an idle connection between an entry
# instance (entry-1; a thread for each connection) and the event-driven gateway
# of forward_bench (event). Both processes run on loopback with the same
# stand-ins and are measured one after the other; the figures come from /proc of
# the two processes. Requires a finished build.
#   bench/gateway_cost.sh [REQUESTS]       default 8000
set -euo pipefail
cd "$(dirname "$0")/.."

bin="$PWD/${BRIARSPREAD_BUILD_DIR:-build}/bin"
base="${BRIARSPREAD_BASE_PORT:-23100}"
out="$(mktemp -d)"
requests="${1:-8000}"
. scripts/lib/processes.sh
trap stop_all EXIT
site 1 >/dev/null
start event "$((base + 51))" "$bin/forward_bench" --mode=serve \
  --port="$((base + 51))" --upstreams="$((base + 31)),$((base + 32))"
sleep 3

echo "cores $(nproc), $requests requests"
for name in entry-1 event; do
  printf '%-8s ' "$name"
  "$bin/forward_bench" --mode=measure --port="${port_of[$name]}" \
    --pid="$(pid_of "$name")" --requests="$requests"
done
