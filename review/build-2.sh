#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on, which start the program that the build line of deploy/system.toml makes.
set -eu
cd "$(dirname "$0")/.."
go build -o target/drill ./review/drill
