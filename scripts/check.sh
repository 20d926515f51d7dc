#!/usr/bin/env bash
# Checks formatting, lint rules, that no file contains paths of this machine or,
# outside platform/, names of the platform, and the names in the pages. Modifies
# no source file.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t sources < <(git ls-files '*.h' '*.cc')
echo "clang-format: ${#sources[@]} files"
clang-format --dry-run --Werror "${sources[@]}"

# clang-tidy needs compile commands from a build folder without precompiled
# headers.
lint_dir="${1:-build}"
[ -f "$lint_dir/compile_commands.json" ] ||
  cmake -S . -B "$lint_dir" -G Ninja >/dev/null
mapfile -t units < <(git ls-files '*.cc')
echo "clang-tidy: ${#units[@]} files"
printf '%s\n' "${units[@]}" |
  xargs -P "$(nproc)" -n 4 clang-tidy --quiet -p "$lint_dir" \
    --extra-arg=-Wno-unknown-warning-option 2>/dev/null

echo "paths of this machine"
if git grep -nE '/(work|farm)/|/tmp/[a-z]+\.' -- . ':!scripts/check.sh'; then
  echo "a path of this machine stands in the files above" >&2
  exit 1
fi
echo "names of the platform outside platform/"
platform_names='X-Expect-Instance|X-Server-Stamp|X-Not-Executed|X-Attempt-Id|X-Instance-Load|/briarspread/|op/config|servers/'
if git grep -nE "$platform_names" -- briarspread programs standins bench; then
  echo "names of the platform stand in the files above" >&2
  exit 1
fi
echo "names in the pages"
python3 scripts/check-page-names.py
echo "checks passed"
