#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases of the third review into target/review-3/. Needs the build of the deploy
# file for the daemon, and g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.cc; do
    [ -f "$source" ] || continue
    number="$(basename "$(dirname "$source")")"
    "${CXX:-g++}" -std=c++20 -O1 -Wall -pthread -o "target/review-3/case-$number" "$source"
done
