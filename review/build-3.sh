#!/bin/sh
# Builds what the scripts of the third review start: the program, as the deploy file has it, and the stand-ins.
set -e
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/...
go build -o target/review-3/ ./review/testdata/review3
