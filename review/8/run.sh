#!/bin/sh
# Plays the case (claim.txt) and writes record.txt. Exit code: 1 the rule was broken, 0 it held, 2 the case
# could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -x "$root/target/review-2" ] || { echo "run review/build-2.sh first" >&2; exit 2; }
REVIEW2_MODE=8 REVIEW2_ROOT=$root REVIEW2_RECORD=$here/record.txt exec timeout -k 5 115 "$root/target/review-2"
