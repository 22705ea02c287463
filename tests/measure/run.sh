#!/usr/bin/env bash
# make measure: prints the figures that the documents quote. SEEDS=N sets
# how many seeds each placement figure is the median of.
set -eu
cd "$(dirname "$0")/../.."
BUILD=${BUILD:-build}
"$BUILD/tests/measure-cost"
BUILD=$BUILD bash tests/measure/processes.sh
"$BUILD/tests/measure-placement" "${SEEDS:-20}"
