#!/usr/bin/env bash
# Formats all C++ sources in place; with --check only reports differences.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
[ "${1:-}" = --check ] && mode=(--dry-run --Werror)
find src platform standin bench tests demo deploy -name '*.cc' -o -name '*.h' | xargs -r clang-format "${mode[@]}"
