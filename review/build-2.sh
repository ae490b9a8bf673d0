#!/bin/sh
# Builds the stand-ins of the second review's cases: one program of the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O review/stand_ins_2/main.rs -o target/review-2/stand_ins
