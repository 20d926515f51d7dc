#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the checks need.
set -euo pipefail

packages=(
  cmake g++ ninja-build pkg-config clang-format clang-tidy python3
  libasio-dev libhttp-parser-dev libcpp-httplib-dev nlohmann-json3-dev libgflags-dev
  libgoogle-glog-dev catch2 libtrompeloeil-cpp-dev librapidcheck-dev
  liburcu-dev libxxhash-dev libvalijson-dev liblua5.4-dev libssl-dev
  libboost-dev
)

if dpkg -s "${packages[@]}" >/dev/null 2>&1; then
  exit 0
fi
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
  --no-install-recommends "${packages[@]}" >/dev/null
