#!/usr/bin/env bash
# Regenerates gen/ from idl/ with the Thrift compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
thrift --gen cpp:no_skeleton,moveable_types -out gen idl/link.thrift
