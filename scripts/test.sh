#!/usr/bin/env bash
# Runs all tests with the race detector. A test listed in KNOWN-RED.txt
# (lines "test: NAME") may fail: it is printed, and nothing else may fail.
set -u
cd "$(dirname "$0")/.."
out=$(mktemp)
trap 'rm -f "$out"' EXIT
go test -race -count=1 -timeout 20m -skip '^TestCrowd' "$@" ./... 2>&1 | tee "$out"
status=${PIPESTATUS[0]}
# Tests that measure the memory of processes run one at a time, apart from all others.
go test -count=1 -timeout 10m -run '^TestCrowd' ./platform 2>&1 | tee -a "$out"
crowds=${PIPESTATUS[0]}
[ "$status" -eq 0 ] && status=$crowds
[ "$status" -eq 0 ] && exit 0

known=$(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | sort -u)
failed=$(sed -n 's/^--- FAIL: \([^ ]*\).*/\1/p' "$out" | sort -u)
if [ -z "$failed" ] || grep -qE 'build failed|^panic:|DATA RACE' "$out"; then
	echo "tests failed outside of any known test"
	exit 1
fi
unknown=$(comm -23 <(echo "$failed") <(echo "$known"))
if [ -n "$unknown" ]; then
	echo "unexpected failures:"
	echo "$unknown"
	exit 1
fi
echo "only tests of KNOWN-RED.txt failed:"
echo "$failed"
