#!/usr/bin/env bash
# A leader dies as a worker that it ordered drops out of the registry.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case can't run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
cases=target/review/cases
daemon=target/source/parsleyhitchd/parsleyhitchd
[ -x "$cases" ] && [ -x "$daemon" ] || exit 2
exec "$cases" unlisted-worker review/5/record.txt "$daemon"
