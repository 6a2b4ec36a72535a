#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 5 115 target/review-2/release/review-standin-2 store-outage review/6
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
