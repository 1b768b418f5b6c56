#!/bin/sh
# Plays the case and writes record.txt beside this file. TROUBLE=0 leaves the disruption out.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/agateward ] && [ -x target/review-standin-2 ] || exit 2
exec target/review-standin-2 --case exposure --program target/agateward --record review/7/record.txt
