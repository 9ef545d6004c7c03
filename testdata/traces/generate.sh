#!/bin/sh
# Regenerates the recorded traces. The seeds are fixed, so the output is identical byte for byte.
set -eu
cd "$(dirname "$0")/../.."
# gen NAME DEPLOYMENT FLAGS... writes NAME.jsonl.
gen() {
	name=$1 deployment=$2
	shift 2
	go run ./cmd/replay generate -deployment "testdata/deployments/$deployment.json" -length 45s "$@" >"testdata/traces/$name.jsonl"
}
gen hutwacht hutwacht -seed 101 -rate 14 -prefixes 4
gen hutwacht_burst hutwacht -seed 102 -rate 14 -prefixes 4 -burst 5 -burst-at 20s -burst-length 3s
gen hutwacht_flood hutwacht -seed 103 -rate 14 -prefixes 4 -burst 5 -burst-at 20s -burst-length 8s -flood ardennes
gen hutwacht_prefixes hutwacht -seed 104 -rate 14 -prefixes 20
gen trust trust -seed 201 -rate 10 -prefixes 4
gen trust_burst trust -seed 202 -rate 10 -prefixes 4 -burst 5 -burst-at 20s -burst-length 3s
gen trust_flood trust -seed 203 -rate 10 -prefixes 4 -burst 5 -burst-at 20s -burst-length 8s -flood torino
