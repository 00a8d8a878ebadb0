#!/usr/bin/env bash
# Plays the case with build/review-3/stopping_entry (review/build-3.sh), and writes
# record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
export ROOT=$here/../..
[ -x "$ROOT/build/review-3/stopping_entry" ] || exit 2
timeout -k 2 110 "$ROOT/build/review-3/stopping_entry" "$here/record.txt"
code=$?
[ $code -le 1 ] && exit $code
exit 2
