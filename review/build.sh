#!/usr/bin/env bash
# Builds the stand-ins that the cases start, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -DBOOST_ERROR_CODE_HEADER_ONLY review/standin.cc -o target/review/standin -lpthread
