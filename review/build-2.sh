#!/bin/bash
# Builds the program under review and the stand-ins that the scripts of cases 6 to 10 start.
set -e
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/...
go build -o target/review-fleet ./review/testdata/fleet
