#!/bin/bash
# Plays servers that say that they are brittle, and then a burst of requests. Exits with 1 if LIMIT was broken, 0 if it held and 2 if the case couldn't run.
# With TROUBLE=0 the servers aren't brittle.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hickoryshelf ] && [ -x target/review-standins ] || { echo "build the program and review/build-2.sh first"; exit 2; }
exec target/review-standins brittle review/9
