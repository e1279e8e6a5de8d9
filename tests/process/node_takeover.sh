#!/usr/bin/env bash
# Tests nodes as processes against the stand-in platform: jobs complete after the
# owner is killed while they run, and accepted jobs survive a restart of all nodes.
# The platform process checks the workers' history when it is stopped.
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/../../scripts/lib/nodes.sh"
trap nodes_stop EXIT

fail() {
  echo "FAIL: $*" >&2
  tail -n 5 "$node_dir"/*.log >&2
  exit 1
}

job='{"spec":"batch","steps":[{"count":6,"cpu":1000,"memMb":100,"estimatedMs":300},{"count":4,"cpu":500,"memMb":100,"after":[0]}]}'

platform_start "$1"
for number in 1 2 3; do node_start "$number"; done
for number in 1 2 3; do
  node_wait 20 "node $number" node_is_ready "$number"
done

submit() {
  local id=$1 number=$2 code
  code=$(curl -s --max-time 5 -o /dev/null -w '%{http_code}' -X POST \
    -H 'Host: tally.example' -d "$job" \
    "http://127.0.0.1:$(node_port "$number")/counts/$id") || true
  [ "$code" = 200 ]
}
state_is() { node_call "$1" GET "/counts/$2" | grep -q "\"$3\""; }
has_owner() { [ -n "$(node_owner)" ]; }

node_wait 20 "an owner" has_owner
for n in 1 2 3 4 5 6 7 8; do
  submit "00000000000000a$n" $((n % 3 + 1)) || fail "job $n was not accepted"
done
submit 00000000000000a1 2 || fail "the same job was not accepted again"
[ "$(node_call 1 POST /counts/00000000000000b1 '{}')" = '{"error":"field \"steps\" is missing"}' ] ||
  fail "the error in an invalid body is not reported"
echo "ok: 8 jobs accepted, one of them twice"

owner=$(node_owner)
node_signal "node-$owner" KILL
node_join "node-$owner" || true
others=()
for number in 1 2 3; do [ "$number" = "$owner" ] || others+=("$number"); done
for n in 1 2 3 4 5 6 7 8; do
  node_wait 30 "job $n" state_is "${others[0]}" "00000000000000a$n" completed
done
echo "ok: all jobs completed after the owner was killed"

node_start "$owner"
node_wait 20 "node $owner" node_is_ready "$owner"
submit 00000000000000c1 1 || fail "job c1 was not accepted"
[ "$(node_call 2 DELETE /counts/00000000000000c1)" = '{}' ] ||
  fail "the cancellation was not answered"
node_wait 20 "the cancellation" state_is 3 00000000000000c1 cancelled
echo "ok: a job was cancelled through another node"

for number in 1 2 3; do
  submit "00000000000000d$number" "$number" || fail "job d$number was not accepted"
done
for number in 1 2 3; do node_signal "node-$number" KILL; done
for number in 1 2 3; do node_join "node-$number" || true; done
for number in 1 2 3; do node_start "$number"; done
for number in 1 2 3; do
  node_wait 30 "job d$number" state_is "$number" "00000000000000d$number" completed
done
echo "ok: accepted jobs survived a restart of all nodes"

node_signal node-2 TERM
node_join node-2 || fail "node 2 did not exit with 0"
echo "ok: a planned stop exits with 0"

node_signal platform TERM
node_join platform || fail "a guarantee was violated: $(grep broken "$node_dir/platform.log")"
grep 'broken promises 0' "$node_dir/platform.log"
