#!/usr/bin/env bash
# Runs the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves the disruption out. KEEP_LOGS=FOLDER keeps the
# logs of the edge processes.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/review-3/case-13 ] || exit 2
folder="$(mktemp -d)" || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 110 target/review-3/case-13 "$folder" "$here/record.txt"
code=$?
[ -n "${KEEP_LOGS:-}" ] && cp "$folder"/*.log "$KEEP_LOGS"
[ "$code" -le 1 ] && exit "$code"
# The case was cut off, so it may not have ended the processes that it started.
[ -f "$folder/pids" ] && xargs -r kill -9 <"$folder/pids" 2>/dev/null
exit 2
