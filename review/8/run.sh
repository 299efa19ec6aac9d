#!/bin/bash
# Plays this case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/harness ] && [ -x target/release/dillmill ] || exit 2
timeout -k 1 118 target/review-2/harness rest "review/8/record.txt"
code=$?
# A time-out or a crash of the harness is no broken rule.
[ "$code" -le 1 ] || exit 2
exit "$code"
