#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 into target/, beside the program.
cd "$(dirname "$0")/.." || exit 2
go build -o target/review-standins ./review/standins/platform
