#!/usr/bin/env bash
# make measure: prints the figures that the documents quote. Each placement
# figure is the median over SEEDS seeds (default 20).
set -eu
cd "$(dirname "$0")/../.."
BUILD=${BUILD:-build}
"$BUILD/tests/measure-cost"
"$BUILD/tests/measure-egress"
BUILD=$BUILD bash tests/measure/processes.sh
"$BUILD/tests/measure-placement" "${SEEDS:-20}"
