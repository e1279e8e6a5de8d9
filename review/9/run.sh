#!/usr/bin/env bash
# Runs case 9; see claim.txt. Build first: the line of deploy/system.toml and
# review/build-2.sh.
set -uo pipefail
cd "$(dirname "$0")/../.."
[ -x target/bin/catkinseam ] && [ -x target/review-2/case-9 ] || exit 2
timeout -k 2 118 target/review-2/case-9 review/9/record.txt
result=$?
[ "$result" -le 1 ] && exit "$result"
exit 2
