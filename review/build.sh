#!/bin/bash
# Builds what the scripts of the cases start beside the programs of the deploy file.
cd "$(dirname "$0")/.." || exit 2
go build -o target/review-trial ./review/platform
