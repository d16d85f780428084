#!/bin/sh
# Builds the program that the run.sh of each case starts. It needs no network after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -o review/bin/harness ./review/harness
