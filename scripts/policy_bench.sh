#!/usr/bin/env bash
# Prints the table that compares policies (docs/POLICY.md). Options are passed to the program.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
[ -f "$build/build.ninja" ] || cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" -j "${JOBS:-12}" --target sapphire-policy-bench >&2
"$build/bin/sapphire-policy-bench" "$@"
