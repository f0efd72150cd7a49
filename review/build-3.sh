#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start; the deploy file's build builds the system itself.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/rig-3 ./review/rig
