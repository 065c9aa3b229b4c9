#!/bin/bash
# Plays case freeze on ten hosts; TROUBLE=0 leaves the disruption out. Exit status: 1 rule broken, 0 held, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-fleet ] && [ -x target/cowslipgw ] || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/review-fleet -program target/cowslipgw -case freeze -record review/8/record.txt -trouble=$trouble
