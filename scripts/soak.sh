#!/usr/bin/env bash
# Injects random faults into edge processes on loopback and checks the guarantees
# that the platform requires during the run. Requires a finished build.
#   scripts/soak.sh [SEED [SECONDS [EDGES]]]    default: seed 1, 20 s, 4 edges
# Exit code 1: a guarantee was violated; 2: ports are in use. BRIARSPREAD_KEEP=1
# keeps the logs. BRIARSPREAD_BASE_PORT is the first of 1,000 ports; if it is not
# set, the script searches for free ports.
set -euo pipefail
cd "$(dirname "$0")/.."

bin="${BRIARSPREAD_BIN:-$PWD/build/bin}"
base="${BRIARSPREAD_BASE_PORT:-24000}"
seed="${1:-1}"
length="${2:-20}"
edges="${3:-4}"
out="$(mktemp -d)"
. scripts/lib/processes.sh
trap stop_all EXIT
: >"$processes"

# Edges of another run that are still draining would respond in place of the edges
# of this run.
port_in_use() { # port_in_use BASE: prints the first port that is in use, if any
  local port
  for port in $(($1 + 500)) $(seq $(($1 + 1)) 10 $(($1 + edges * 10))); do
    if (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
      echo "$port"
      return
    fi
  done
}
if [ -n "${BRIARSPREAD_BASE_PORT:-}" ]; then
  used="$(port_in_use "$base")"
  if [ -n "$used" ]; then
    echo "soak: port $used is in use; choose another BRIARSPREAD_BASE_PORT" >&2
    exit 2
  fi
else
  # Searches below the system's range of ephemeral ports.
  for base in $(seq 24000 1000 31000); do
    [ -n "$(port_in_use "$base")" ] || break
  done
fi

seeds=""
for i in $(seq 0 $((edges - 1))); do
  seeds="$seeds${seeds:+,}127.0.0.1:$((base + i * 10 + 3))"
done
for i in $(seq 0 $((edges - 1))); do
  cat >"$out/edge-$i.conf" <<CONF
NodeName=edge-$i
Ip=127.0.0.1
Zone=z$((i % 2 + 1))
Region=r1
Zones.z1=r1
Zones.z2=r1
Listen.Frontend=127.0.0.1:$((base + i * 10 + 1))
Listen.Ready=127.0.0.1:$((base + i * 10 + 2))
Listen.ControlPlane=127.0.0.1:$((base + i * 10 + 3))
SeedNodes=$seeds
Platform.Address=127.0.0.1:$((base + 510 + i))
Bounds.GraceS=8
Bounds.LeaseMs=3000
Bounds.StatusS=120
Contracts=base,tenants
CONF
done

start soak 0 "$bin/briarspread-soak" --seed="$seed" --seconds="$length" \
  --edges="$edges" --base_port="$base" --processes="$processes"
soak="$(pid_of soak)"
sleep 0.5
for i in $(seq 0 $((edges - 1))); do
  BRIARSPREAD_SETTINGS="$out/edge-$i.conf" \
    start "edge-$i" $((base + i * 10 + 1)) "$bin/briarspread-edge"
done

# Restarts edge processes that have ended, as the platform does.
while kill -0 "$soak" 2>/dev/null; do
  for i in $(seq 0 $((edges - 1))); do
    if ! kill -0 "$(pid_of "edge-$i")" 2>/dev/null; then
      BRIARSPREAD_SETTINGS="$out/edge-$i.conf" restart "edge-$i"
    fi
  done
  sleep 0.3
done
status=0
wait "$soak" || status=$?
cat "$out/soak.log"
leaks="$(cat "$out"/edge-*.log | grep -c soakkey- || true)"
echo "soak: $leaks log lines with a key"
[ "$leaks" = 0 ] || status=1
exit "$status"
