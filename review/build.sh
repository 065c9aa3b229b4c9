#!/bin/sh
# Builds the stand-ins that the scripts start.
cd "$(dirname "$0")/.." && exec go build -o target/review/world ./review/testdata/world
