#!/usr/bin/env bash
# Runs the script of a case five times and prints its exit codes: 5times-3.sh 11
cd "$(dirname "$0")/$1" || exit 2
for _ in 1 2 3 4 5; do
  ./run.sh
  echo "exit $?"
done
