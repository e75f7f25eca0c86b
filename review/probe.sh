#!/usr/bin/env bash
# usage: probe.sh NAME    Plays one of the faults that REPORT.md lists beside the three cases: foreign-group, slow-writer,
# purge-stall, slow-journal, and lease-unchanged, the counter-check of case 2. The record goes to review/bin. Exit codes and TROUBLE as in a case.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
exec bash "$here/play.sh" "$1" "$here/bin"
