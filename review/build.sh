#!/bin/sh
# SPDX-License-Identifier: BSL-1.0
# Builds the stand-ins of the scripts in review/ into target/review/. Needs the
# compiler and nlohmann-json3-dev, which the build of the deploy file needs too.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
flags="-std=c++20 -O1 -pthread"
jobs=""
objects=""
for source in review/harness/*.cpp; do
    object=target/review/$(basename "$source" .cpp).o
    objects="$objects $object"
    g++ $flags -c "$source" -o "$object" &
    jobs="$jobs $!"
done
for job in $jobs; do
    wait "$job"
done
for source in review/*/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ $flags "$source" $objects -o "target/review/case-$number"
done
