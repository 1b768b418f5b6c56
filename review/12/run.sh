#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out; the rule must hold then.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/agateward ] && [ -x target/review-3 ] || exit 2
TROUBLE="${TROUBLE:-1}" exec target/review-3 silent-store-drain review/12/record.txt
