#!/usr/bin/env bash
# Tests that jobs that are small on the wire and large in the owner's tables neither
# end the owner nor the nodes that take over from it: memory stays under the bound of
# the smallest machine, and an ordinary job completes afterwards.
#
#   hostile_jobs.sh PORT_BASE CASE
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/../../scripts/lib/nodes.sh"
trap nodes_stop EXIT
memory_bound_kb=$((260 * 1024))

fail() {
  echo "FAIL: $*" >&2
  tail -n 5 "$node_dir"/*.log >&2
  exit 1
}

case $2 in
recurring)
  # 2,000 occurrences of 1,000 tasks, all of them overdue since 1970.
  job_count=1
  large='{"spec":"batch","repetitions":2000,"firstRunMs":1,"intervalMs":1,"steps":[{"count":1000,"cpu":64000000,"memMb":100,"estimatedMs":300}]}'
  ;;
many)
  # 2,300 tasks each, nearly as many as a record may describe.
  job_count=800
  large='{"spec":"batch","steps":[{"count":2300,"cpu":64000000,"memMb":100,"estimatedMs":300}]}'
  ;;
*) fail "unknown case $2" ;;
esac
ordinary='{"spec":"batch","steps":[{"count":6,"cpu":1000,"memMb":100,"estimatedMs":300}]}'

platform_start "$1"
for number in 1 2 3; do node_start "$number"; done
for number in 1 2 3; do
  node_wait 20 "node $number" node_is_ready "$number"
done

submit() {
  local code
  code=$(curl -s --max-time 5 -o /dev/null -w '%{http_code}' -X POST \
    -H 'Host: tally.example' -d "$2" \
    "http://127.0.0.1:$(node_port 1)/counts/$1") || true
  echo "job $1: status $code"
  [ "$code" = 200 ]
}
is_submitted() { submit "$@" | grep -q 'status [24]'; }
state_is() { node_call 1 GET "/counts/$1" | grep -q "\"$2\""; }
has_owner() { [ -n "$(node_owner)" ]; }
# check_memory WHEN: checks that all nodes live, and their peak memory.
check_memory() {
  local number pid memory_kb
  for number in 1 2 3; do
    pid=${node_pids[node-$number]}
    kill -0 "$pid" 2>/dev/null || fail "node $number ended $1"
    memory_kb=$(awk '/^VmHWM/ { print $2 }' "/proc/$pid/status")
    echo "$1: node $number: peak memory $memory_kb kB"
    [ "$memory_kb" -le "$memory_bound_kb" ] ||
      fail "peak memory of node $number is $memory_kb kB $1"
  done
}

node_wait 20 "an owner" has_owner
check_memory "before the job"
# To accept or to refuse it is allowed.
for ((job = 1; job <= job_count; ++job)); do
  node_wait 20 "large job $job" is_submitted "$(printf '00000000000c%04x' "$job")" "$large"
done
node_wait 60 "an ordinary job" is_submitted 00000000000000a1 "$ordinary"
node_wait 60 "the ordinary job's end" state_is 00000000000000a1 completed
check_memory "with the large jobs"
echo "ok: an ordinary job completes beside large ones"

owner=$(node_owner)
node_signal "node-$owner" KILL
node_join "node-$owner" || true
node_start "$owner"
node_wait 20 "node $owner" node_is_ready "$owner"
node_wait 60 "an owner" has_owner
node_wait 60 "an ordinary job" is_submitted 00000000000000a2 "$ordinary"
node_wait 60 "the ordinary job's end" state_is 00000000000000a2 completed
check_memory "after a takeover"
echo "ok: an ordinary job completes after a takeover"
