#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts in target/review-2/. Needs
# a C++ compiler and Boost.JSON's headers, which are among the packages of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
to=../target/review-2
mkdir -p "$to"
compile=(g++ -std=c++20 -O1 -pthread)
"${compile[@]}" -c standin-2/world.cc -o "$to/world.o"
for source in [0-9]*/case-2.cc; do
  "${compile[@]}" "$source" "$to/world.o" -o "$to/case-$(dirname "$source")"
done
