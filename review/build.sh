#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread -o target/review/cases review/stand_in/cases.cc
