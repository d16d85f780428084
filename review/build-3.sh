#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, which are scripts. The project's own program comes from the build line of
# deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-3/tool3 ./review/tool3
