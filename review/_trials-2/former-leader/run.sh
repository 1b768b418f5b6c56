#!/bin/sh
# Plays the trial and writes record.txt beside this file. TROUBLE=0 leaves the disruption out.
# Exit code: 1 if the status was overwritten, 0 if not, 2 if the trial couldn't run.
cd "$(dirname "$0")/../../.." || exit 2
[ -x target/agateward ] && [ -x target/review-standin-2 ] || exit 2
exec target/review-standin-2 --case status --program target/agateward --record review/_trials-2/former-leader/record.txt
