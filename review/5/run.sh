#!/usr/bin/env bash
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/case-5
if [ ! -x "$program" ]; then
  echo "run review/build.sh first" >&2
  exit 2
fi
exec "$program" review/5
