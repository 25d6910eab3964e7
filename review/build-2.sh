#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases from 4 on into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[4-8]/case.cc; do
    number="$(basename "$(dirname "$source")")"
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -I . -o "target/review-2/case-$number" "$source"
done
