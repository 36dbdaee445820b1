#!/usr/bin/env bash
# Compares the event names in the code of the platform programs with docs/OPERATIONS.md.
set -euo pipefail
cd "$(dirname "$0")/.."
in_code=$(cat src/{http,link,serving,streams,quota,orders,fleet,routing}/*.cc src/crash/evidence_*.cc platform/*.cc src/core/{settings_watch,log_sink,stall_watch,task}.cc |
  tr '\n' ' ' | grep -oE '(LogCategory::k[A-Za-z]+, *[^;{]*|event=)"?[a-z_]+"?[^;{]*' |
  grep -oE '"[a-z]+_[a-z_]+"|"(wake|woken|started|leaving|left)"|event=[a-z_]+' |
  sed -E 's/event=//; s/"//g' | sort -u)
status=0
for event in $in_code; do
  grep -q "\`$event\`" docs/OPERATIONS.md || { echo "docs/OPERATIONS.md: event $event is missing"; status=1; }
done
for event in $(sed -n '/^## Events/,/^## /p' docs/OPERATIONS.md | grep -oE '^\| `[a-z_]+`' | tr -d '|` '); do
  grep -qx "$event" <<< "$in_code" || { echo "docs/OPERATIONS.md: event $event is not in the code"; status=1; }
done
exit $status
