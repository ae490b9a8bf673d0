#!/usr/bin/env bash
# Runs the case from the root of the repository: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. All that it starts is in one process group, which ends with it.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program="target/review/case-$(basename "$folder")"
[ -x "$program" ] || { echo "could not run: $program is missing; review/build.sh builds it"; exit 2; }
set -m
RECORD="$folder/record.txt" "$program" &
case=$!
trap 'kill -KILL -- "-$case" 2>/dev/null' EXIT
trap 'exit 2' INT TERM HUP
wait "$case"
code=$?
case "$code" in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
