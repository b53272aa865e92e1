#!/bin/sh
# Builds the stand-ins that the cases start. Run from anywhere, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/ ./review/rig
