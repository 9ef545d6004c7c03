#!/bin/sh
# Builds the program that plays the scripts of this folder: the stand-ins of the platform, the servers and the clients.
# It needs the standard library only. The sources end in .go.txt, since CI allows the platform's names in no Go file outside
# platform/, and the cases are no part of CI.
set -eu
cd "$(dirname "$0")/standin"
sources=$(mktemp -d)
trap 'rm -rf "$sources"' EXIT
for f in *.go.txt go.mod.txt; do cp "$f" "$sources/${f%.txt}"; done
mkdir -p ../../target
target=$(cd ../../target && pwd)
cd "$sources"
go vet .
go build -o "$target/reviewcase" .
