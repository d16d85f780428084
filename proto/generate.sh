#!/bin/sh
# Regenerates the committed Go code from the schemas. Needs protoc; the plugins come from the module's tool list.
set -eu
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -r "$bin"' EXIT
go build -o "$bin" google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc
PATH="$bin:$PATH" protoc -I . \
  --go_out=. --go_opt=paths=source_relative \
  --go-drpc_out=. --go-drpc_opt=paths=source_relative \
  configpb/config.proto agreementpb/agreement.proto dispatchpb/dispatch.proto fleetpb/fleet.proto recordspb/records.proto
