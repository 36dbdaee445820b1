#!/usr/bin/env bash
# Runs clang-tidy on all sources, or on the given files.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
[ -f "$build/compile_commands.json" ] || cmake -S . -B "$build" -G Ninja >/dev/null
files=("$@")
[ "${#files[@]}" -gt 0 ] || mapfile -t files < <(find src platform standin bench tests demo deploy -name '*.cc')
printf '%s\0' "${files[@]}" | xargs -0 -P "${JOBS:-12}" -n 1 clang-tidy --quiet -p "$build"
