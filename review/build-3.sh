#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/11 to review/15, into
# build/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-3
for source in review/stand_in_3/*.cc; do
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread \
    -o "build/review-3/$(basename "$source" .cc)" "$source"
done
