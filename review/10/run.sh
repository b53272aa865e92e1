#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/magpieglade ] || [ ! -x review/bin/rig2 ]; then
	echo "build first: the build line of deploy/balancer.toml, then review/build-2.sh" >&2
	exit 2
fi
exec review/bin/rig2 -case 10 -record review/10/record.txt
