#!/bin/sh
# Plays the case; TROUBLE=0 leaves the disruption out. Build before: the deploy file, then review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2 ] || exit 2
exec target/review-2 forgotten review/8
