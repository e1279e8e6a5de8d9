#!/usr/bin/env bash
# Guards against jobs that are lost or shown as failed because a reply is taken for
# that to another call: the store refuses some of the owner's calls by their heads,
# and takes the bodies for further calls.
set -euo pipefail
seconds=9
plan=$(mktemp)
trap 'rm -f "$plan"' EXIT
for ((at = 1000; at < 1000 * seconds; at += 1100)); do
  echo "$at refuse owner 700 early 0.1"
done >"$plan"
SOAK_PLAN=$plan SOAK_SECONDS=$seconds SOAK_RATE=6 SOAK_SEED=1 \
  "$(dirname "$0")/fault_soak.sh" "$1"
