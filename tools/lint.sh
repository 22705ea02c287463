#!/bin/sh
# Runs clang-format, cppcheck and clang-tidy on every committed source file.
# Compiler warnings are already errors in the build.
set -eu
BUILD=${BUILD:-build}
JOBS=${JOBS:-8}

sources=$(git ls-files '*.c')
headers=$(git ls-files '*.h')

echo "lint: clang-format"
clang-format --dry-run --Werror $sources $headers
echo "lint: cppcheck"
cppcheck --quiet --error-exitcode=1 --inline-suppr --std=c11 -j "$JOBS" \
    --enable=warning,performance,portability --library=gtk \
    --suppress=missingInclude --suppress=unknownMacro \
    -I lib/common -I lib/wire -I lib/flow -I lib/state -I lib/control \
    -I lib/net -I lib/http -I platform -I programs/shared $sources
echo "lint: clang-tidy"
# One file per process: on x86-64 the va_list check of a process that reads
# several files reports lists that are initialised.
echo "$sources" | xargs -P "$JOBS" -n 1 clang-tidy -p "$BUILD" --quiet \
    2> /dev/null
echo "lint: clean"
