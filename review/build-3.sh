#!/bin/bash
# Builds the stand-ins of the third review's cases. The build of the deploy file comes first.
set -e
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-overlap ./review/overlap/platform
go build -ldflags=-linkmode=external -o target/review-disks ./review/disks/platform
