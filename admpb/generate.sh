#!/bin/bash
# Regenerates the code of admin.proto. Needs protoc; the plug-ins come from go.mod.
set -e
cd "$(dirname "$0")"
b=$(mktemp -d)
GOBIN=$b go install google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go
protoc --plugin="$b/protoc-gen-go" --plugin="$b/protoc-gen-connect-go" \
  --go_out=. --go_opt=paths=source_relative \
  --connect-go_out=. --connect-go_opt=paths=source_relative,package_suffix= admin.proto
rm -r "$b"
