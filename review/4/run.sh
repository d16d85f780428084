#!/bin/sh
# Plays the case; see claim.txt. Build first with the build line of deploy/system.toml and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/harness stop review/4/record.txt
