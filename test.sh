#!/usr/bin/env bash
# Builds, checks and tests the whole project, with the same result on every run.
set -euo pipefail
cd "$(dirname "$0")"
export GOFLAGS=-mod=readonly
echo "build and vet"
go build ./...
go vet ./...
echo "format"
unformatted=$(gofmt -l cmd internal platform)
if [ -n "$unformatted" ]; then
	echo "not formatted: $unformatted"
	exit 1
fi
echo "staticcheck"
go tool -modfile=tools/go.mod staticcheck ./...
echo "revive"
go tool -modfile=tools/go.mod revive -config tools/revive.toml ./...
echo "examples"
for dir in examples/*/objects; do
	go run ./cmd/lacewingdrift check "$dir"
done
echo "tests"
if [ -s KNOWN-RED.txt ]; then
	echo "known to fail, listed in KNOWN-RED.txt and passed over:"
	cat KNOWN-RED.txt
fi
# The first word of each line of KNOWN-RED.txt that is not a comment is the name of a test.
skip=$(grep -oE '^Test[A-Za-z0-9_/]+' KNOWN-RED.txt 2>/dev/null | sed 's/.*/^&$/' | paste -sd'|' - || true)
# Two packages at a time, since several of them run whole fleets in real time.
go test -race -p 2 -timeout 20m ${skip:+-skip "$skip"} ./...
