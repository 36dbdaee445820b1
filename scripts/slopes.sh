#!/usr/bin/env bash
# Starts real processes on this machine (free ports, at most 39 at once, ended by their
# ids) and prints what requests, tokens, links, models, adapters and changes cost
# them, for docs/CAPACITY.md. Takes under 3 minutes after the build.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
[ -f "$build/build.ninja" ] || cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" -j "${JOBS:-12}" --target sapphire-slopes sapphire-entry \
  sapphire-endpoint sapphire-standin sapphire-home-bench sapphire-config-bench >&2
echo "Commit $(git rev-parse --short HEAD), load average $(cut -d' ' -f1 /proc/loadavg) on $(nproc) processors"
"$build/bin/sapphire-slopes" "$build/bin"
printf '\n## Home: reports, decisions, memory\n\n'
"$build/bin/sapphire-home-bench"
printf '\n## Configuration: sizes, encoding\n\n'
"$build/bin/sapphire-config-bench"
echo "Load average $(cut -d' ' -f1 /proc/loadavg)"
