#!/usr/bin/env bash
# Builds everything and runs the demo on this machine: two zones, two entries,
# three model engines, a plain service. Exits 0 only if all checks pass.
# Processes use free ports and are ended by their ids.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/build.sh >/dev/null
build=${BUILD_DIR:-build}
"$build/bin/sapphire-demo" "$build/bin" examples/meander-small.toml
