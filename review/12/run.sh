#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/tarragonmux ] && [ -x target/review-3/tool3 ] || { echo "run the build line of deploy/system.toml and review/build-3.sh first" >&2; exit 2; }
exec target/review-3/tool3 paused-restart review/12/record.txt
