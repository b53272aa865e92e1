#!/bin/sh
# Plays case 3; review/build.sh and the build of the deploy file come first. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." && exec review/bin/rig 3
