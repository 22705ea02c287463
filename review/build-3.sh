#!/bin/sh
# Builds the stand-ins that the scripts of the third review start, into
# target/review-3. Needs a C compiler and nothing else.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for case in review/1[1-5]/case.c; do
    [ -f "$case" ] || continue
    number=$(basename "$(dirname "$case")")
    cc -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -pthread \
        -o "target/review-3/case-$number" review/lab-3/lab.c "$case"
done
