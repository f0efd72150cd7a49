#!/usr/bin/env bash
# Builds the stand-ins of the cases; the programs of the deploy file are built before.
set -eu
cd "$(dirname "$0")/.."
go build -buildvcs=false -o review/bin/ ./review/standin
