#!/bin/sh
# Builds the stand-ins of the second review's cases.
set -eu
cd "$(dirname "$0")/.."
go build -tags review2 -o target/trial-2 ./review/trial-2
