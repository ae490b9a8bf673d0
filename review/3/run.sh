#!/usr/bin/env bash
# Runs the case from the root of the repository: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program="target/review/case-$(basename "$folder")"
[ -x "$program" ] || { echo "could not run: $program is missing; review/build.sh builds it"; exit 2; }
RECORD="$folder/record.txt" "$program"
code=$?
case "$code" in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
