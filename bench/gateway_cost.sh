#!/usr/bin/env bash
# What a request and an idle connection cost at today's entry instance (a thread
# for each connection) and at the event-driven gateway, in one run before the
# same stand-ins on loopback. Figures come from /proc of the two processes.
# Build first.
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
