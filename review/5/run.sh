#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/case ] || exit 2
REPOSITORY=../.. exec ../bin/case poison .
