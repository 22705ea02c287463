#!/usr/bin/env bash
# Builds the stand-in that the scripts under review/ start, into review/bin/.
# It needs a C compiler and the system's C library only.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
${CC:-cc} -D_GNU_SOURCE -O1 -g -Wall -Wextra -o bin/rig standin/rig.c -lpthread
