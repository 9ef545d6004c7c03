#!/bin/sh
# Builds the stand-ins of the second review's cases. Their source files end in .go.txt, since they speak the platform's
# names, which the project's tests allow in platform/ only; they are copied to folders that ./... leaves out.
set -eu
cd "$(dirname "$0")/.."
for name in trial-2 trial-3; do
	source=target/_$name
	rm -rf "$source"
	mkdir -p "$source"
	for f in review/$name/*.go.txt; do
		cp "$f" "$source/$(basename "$f" .txt)"
	done
	go build -o "target/$name" "./$source"
done
