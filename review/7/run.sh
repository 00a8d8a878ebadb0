#!/usr/bin/env bash
# Runs the case. 1: the rule was broken, 0: it held, 2: the case can't run.
# With TROUBLE=0 the same is done without the disruption, and the rule holds.
export TROUBLE="${TROUBLE:-1}"
here="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$here/../.." || exit 2
daemon=target/source/parsleyhitchd/parsleyhitchd
program=target/review-2/cases-2
[ -x "$daemon" ] && [ -x "$program" ] || exit 2
"$program" counted-twice "$daemon" "$here/record.txt"
