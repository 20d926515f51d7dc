#!/usr/bin/env bash
# Builds what the scripts of the third review start, with the libraries of the
# deploy file's build. Run it after that build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
flags=(-std=c++20 -O1 -DASIO_STANDALONE -Wall -Wextra -I.)
libs=(target/briarspread/proxy/libbriarspread_proxy.a
  target/briarspread/core/libbriarspread_core.a
  -lglog -lhttp_parser -lgflags -lxxhash -lurcu-memb -lcrypto -lpthread)
g++ "${flags[@]}" -c review/common-3/lab.cc -o target/review-3/lab.o
for case in review/1[1-5]/play.cc; do
  n="$(basename "$(dirname "$case")")"
  g++ "${flags[@]}" "$case" target/review-3/lab.o "${libs[@]}" \
    -o "target/review-3/case-$n"
done
