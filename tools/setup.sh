#!/bin/sh
# Installs the libraries and tools that the build, the tests and the linters
# need. Does nothing if they are all present.
set -eu

PACKAGES="build-essential cmake pkg-config clang-format clang-tidy cppcheck
 curl libglib2.0-dev libmsgpack-dev libargtable2-dev libcmocka-dev
 libsoup-3.0-dev libsodium-dev libjson-glib-dev libjansson-dev liblwip-dev"

missing=""
for package in $PACKAGES; do
    status=$(dpkg-query -W -f '${Status}' "$package" 2>/dev/null || true)
    [ "$status" = "install ok installed" ] || missing="$missing $package"
done
[ -n "$missing" ] || exit 0

export DEBIAN_FRONTEND=noninteractive
echo "setup: installing$missing"
apt-get update -qq
for package in $missing; do
    apt-get install -y -qq "$package" > /dev/null
done
