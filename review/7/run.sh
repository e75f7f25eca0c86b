#!/usr/bin/env bash
# Plays case 7 and writes record.txt beside this script. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/second ] || [ ! -x bin/director ]; then
    echo "bin/second or bin/director is missing: run the build of deploy/balancer.toml, then review/build-2.sh" >&2
    exit 2
fi
exec bin/second flood review/7
