#!/usr/bin/env bash
# Runs the script of a case five times, and once without its disruption.
cd "$(dirname "$0")" || exit 2
for i in 1 2 3 4 5; do
  "$1/run.sh"
  echo "case $1 run $i: exit $?"
done
cp "$1/record.txt" "$1/record.tmp"
TROUBLE=0 "$1/run.sh"
echo "case $1 without its disruption: exit $?"
mv "$1/record.tmp" "$1/record.txt"
