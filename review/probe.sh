#!/usr/bin/env bash
# usage: probe.sh NAME    Plays one of the faults that REPORT.md lists beside the three cases: slow-writer, lease-lengthened,
# lease-unchanged (its counter-check), purge-stall, slow-journal. The record goes to review/bin. Exit codes and TROUBLE as in a case.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
exec bash "$here/play.sh" "$1" "$here/bin"
