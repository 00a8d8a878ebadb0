#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread \
  -o target/review-2/cases-2 review/stand_in_2/cases.cc
