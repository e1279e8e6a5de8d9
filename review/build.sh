#!/usr/bin/env bash
# Builds the programs of the cases into target/review/, after the build of the
# deploy file. Each contains the stand-ins that it needs (standin/world.h).
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
pids=()
for source in review/[0-9]*/case.cc; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -I. "$source" -o "target/review/case-$number" -pthread &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
