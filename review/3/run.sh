#!/usr/bin/env bash
# The worker of a long job crashes, and then the next one that runs it.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case can't run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
cases=target/review/cases
daemon=target/source/parsleyhitchd/parsleyhitchd
[ -x "$cases" ] && [ -x "$daemon" ] || exit 2
exec "$cases" idle-workers review/3/record.txt "$daemon"
