#!/usr/bin/env bash
# Installs the packages that a fresh Debian 12 machine lacks. Safe to run again.
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache clang-format clang-tidy python3 curl
  libboost1.81-dev libboost-test1.81-dev libboost-json1.81-dev
  libthrift-dev thrift-compiler prometheus-cpp-dev
  libtomlplusplus-dev libcli11-dev libfmt-dev libxxhash-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  echo "installing: ${missing[*]}"
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}"
fi
