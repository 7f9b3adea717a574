#!/usr/bin/env bash
# SPDX-License-Identifier: BSL-1.0
# Builds the stand-ins and clients of the scripts of the second review into
# target/review-2, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -g1 -Wall -Wextra -Wno-psabi -Wno-mismatched-new-delete
    -Iinclude -Itest -I.)
shared=(src/base/async.cpp src/base/base64.cpp
    test/support/fleet/platform_store.cpp review/harness-2/fleet.cpp)
objects=()
pids=()
for source in "${shared[@]}" review/harness-2/[!f]*.cpp; do
    object="$out/$(basename "$source" .cpp).o"
    g++ "${flags[@]}" -c "$source" -o "$object" &
    pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
for source in "${shared[@]}"; do
    objects+=("$out/$(basename "$source" .cpp).o")
done
for source in review/harness-2/[!f]*.cpp; do
    name=$(basename "$source" .cpp)
    g++ "$out/$name.o" "${objects[@]}" -o "$out/$name" -lglog -lcrypto -lpthread
done
echo "built in $out"
