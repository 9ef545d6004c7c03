#!/bin/sh
# Plays a scripted case of the third review: run-3.sh FOLDER CASE. TROUBLE=0 plays it without the disruption.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
folder=$(cd "$1" && pwd)
root=$(cd "$(dirname "$0")/.." && pwd)
[ -x "$root/target/review3" ] && [ -x "$root/target/sequoiaforkd" ] || { echo "build first: the build of deploy/system.toml and review/build-3.sh"; exit 2; }
work=$(mktemp -d) || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
"$root/target/review3" -daemon "$root/target/sequoiaforkd" -dir "$work" -record "$folder/record.txt" -trouble=$trouble "$2" &
play=$!
trap 'kill "$play" 2>/dev/null; wait "$play"; rm -rf "$work"; exit 2' INT TERM
wait "$play"
code=$?
[ -n "${KEEP_LOGS:-}" ] && cp "$work"/*.log "$KEEP_LOGS"
rm -rf "$work"
exit "$code"
