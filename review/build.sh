#!/bin/sh
# Builds the stand-ins and the scripts' program. Needs the Go toolchain and no network.
set -e
cd "$(dirname "$0")/harness"
go build -buildvcs=false -o ../bin/case .
