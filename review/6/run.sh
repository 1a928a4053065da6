#!/bin/bash
# Plays an order to start a rollout that waits at a frozen control host. Exits with 1 if RECOVER was broken, 0 if it held and 2 if the case couldn't run.
# TROUBLE=0 leaves out the freeze.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hickoryshelf ] && [ -x target/review-standins ] || { echo "build the program and review/build-2.sh first"; exit 2; }
exec target/review-standins late-order review/6
