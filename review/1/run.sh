#!/bin/sh
# Plays case 1; the build of the deploy file and review/build.sh come first. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/magpieglade ] && [ -x review/bin/rig ] || exit 2
exec review/bin/rig 1
