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
output=$(mktemp)
trap 'rm -f "$output"' EXIT
if ! go test -race -p 2 -timeout 20m ${skip:+-skip "$skip"} ./... 2>&1 | tee "$output"; then
	# A failed package prints the logs of all its nodes, so what failed is repeated at the end.
	echo "failed:"
	grep -E -- '^ *--- FAIL|^ +[A-Za-z0-9_]+_test\.go:[0-9]+:|^panic: |WARNING: DATA RACE|^FAIL' "$output" | cut -c 1-400 | tail -n 100
	exit 1
fi
