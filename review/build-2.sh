#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into review/bin, with the modules that the build of the deploy file left.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/rig2 ./review/rig2
