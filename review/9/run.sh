#!/usr/bin/env bash
# Plays the case that claim.txt states. Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 plays it without the disruption. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/mothproxy ] && [ -x target/review-2/9 ] || exit 2
target/review-2/9 review/9
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
