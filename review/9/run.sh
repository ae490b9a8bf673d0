#!/bin/sh
# A fleet's rolling restart while two of five backends hang.
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$here/../.." && pwd)
export ROOT
[ -x "$ROOT/target/release/bellcroft" ] && [ -x "$ROOT/target/review-2/stand_ins" ] || {
    echo "build first: cargo build --release; review/build-2.sh"
    exit 2
}
exec "$ROOT/target/review-2/stand_ins" roll "$here/record.txt"
