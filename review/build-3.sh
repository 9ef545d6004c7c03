#!/bin/sh
# Builds the stand-ins of the third review into target/review-3. They have a module of their own without dependencies.
set -eu
cd "$(dirname "$0")/.."
src=$(mktemp -d)
trap 'rm -rf "$src"' EXIT
for f in review/standin-3/*.txt; do
	cp "$f" "$src/$(basename "$f" .txt)"
done
mkdir -p target
out=$(pwd)/target/review3
cd "$src"
GOFLAGS=-mod=mod go build -o "$out" .
