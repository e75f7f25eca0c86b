#!/usr/bin/env bash
# usage: play.sh CASE FOLDER    Plays a case of review/standin against the director and writes FOLDER/record.txt.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
case=$1
folder=$(cd "$2" && pwd) || exit 2
root=$(cd "$(dirname "$0")/.." && pwd) || exit 2
if [ ! -x "$root/bin/director" ] || [ ! -x "$root/review/bin/standin" ]; then
    echo "not built: run the build command of deploy/balancer.toml, then review/build.sh" >&2
    exit 2
fi
scratch=$(mktemp -d) || exit 2
# What the stand-in started ends with it. This ends a process that was left, if it is still one of this run.
finish() {
    for pid in $(cat "$scratch/pids" 2>/dev/null); do
        if grep -qz "ROUTER_CONFIG=$scratch/" "/proc/$pid/environ" 2>/dev/null; then
            kill -KILL "$pid" 2>/dev/null
        fi
    done
    rm -rf "$scratch"
}
trap finish EXIT
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then
    trouble=false
fi
timeout -k 2 110 "$root/review/bin/standin" -case "$case" -root "$root" -scratch "$scratch" -record "$folder/record.txt" -trouble="$trouble"
status=$?
if [ "$status" -ne 0 ] && [ "$status" -ne 1 ]; then
    status=2
fi
exit "$status"
