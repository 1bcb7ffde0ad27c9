#!/bin/sh
# Builds the stand-ins of the cases of the second review into target/.
set -e
cd "$(dirname "$0")/stand-ins-2"
mkdir -p ../../target
go build -buildvcs=false -o ../../target/review-2 .
