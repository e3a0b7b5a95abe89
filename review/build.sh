#!/usr/bin/env bash
# Builds the stand-ins that the cases of the review start. Needs no network after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/.build/fleet ./review/.standins/fleet
