#!/usr/bin/env bash
# Installs packages and builds everything into build/ (or the folder given).
set -euo pipefail
cd "$(dirname "$0")/.."

build_dir="${1:-build}"
scripts/install-packages.sh
cmake -S . -B "$build_dir" -G Ninja >/dev/null
cmake --build "$build_dir"
