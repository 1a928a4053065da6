#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 plays it without the disruptions.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hickoryshelf ] && [ -x target/review-disks ] || exit 2
timeout -k 5 110 target/review-disks "$PWD/target/hickoryshelf" review/11/record.txt
s=$?
[ $s -le 2 ] && exit $s
exit 2
