#!/bin/sh
# Plays the case once; see claim.txt. Exit code: 1 broken, 0 held, 2 it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/sequoiaforkd ] && [ -x target/trial-3 ] || { echo "run the build of the deploy file and review/build-2.sh first" >&2; exit 2; }
exec target/trial-3 -case reader -program target/sequoiaforkd -record review/9/record.txt
