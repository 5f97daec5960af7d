#!/bin/bash
# Plays the case with the project's own program; see claim.txt. TROUBLE=0 leaves the disruption out.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case couldn't run.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/standin ] || { echo "run review/build.sh first" >&2; exit 2; }
exec ../bin/standin long .
