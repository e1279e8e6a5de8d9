#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts in target/review-3/. Needs
# a C++ compiler and Boost.JSON's headers, which are among the packages of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
to=../target/review-3
mkdir -p "$to"
compile=(g++ -std=c++20 -O1 -pthread)
"${compile[@]}" -c standin-3/world.cc -o "$to/world.o"
for source in */case-3.cc; do
  "${compile[@]}" "$source" "$to/world.o" -o "$to/case-$(dirname "$source")"
done
