#!/usr/bin/env bash
# Guards against a reply that is taken for the reply to another call: the log service
# refuses calls of some nodes by their heads and takes the bodies for further requests.
# A 400 to such a body must fail no job, and a 200 to another append must not start a
# task twice. The platform process checks the workers' history when it is stopped.
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/../../scripts/lib/nodes.sh"
trap nodes_stop EXIT

fail() {
  echo "FAIL: $*" >&2
  grep -hE 'event=(job.failed|owner.record_invalid|owner.ends)' "$node_dir"/*.log >&2 || true
  exit 1
}

rounds=${REFUSAL_ROUNDS:-5}
job='{"spec":"run_ms=300","steps":[{"count":6,"cpu":400,"memMb":100,"estimatedMs":300}]}'

platform_start "$1" 12
for number in 1 2 3; do node_start "$number"; done
for number in 1 2 3; do
  node_wait 20 "node $number" node_is_ready "$number"
done
has_owner() { [ -n "$(node_owner)" ]; }
node_wait 20 "an owner" has_owner

submit() {
  [ "$(curl -s --max-time 3 -o /dev/null -w '%{http_code}' -X POST \
    -H 'Host: tally.example' -d "$job" \
    "http://127.0.0.1:$(node_port "$2")/counts/$1")" = 200 ]
}
state_of() {
  local number
  for number in 1 2 3; do
    node_call "$number" GET "/counts/$1" | grep -o '"state":"[a-z_]*"' && return
  done
}
has_ended() { state_of "$1" | grep -qE 'completed|failed'; }

accepted=()
for ((round = 1; round <= rounds; ++round)); do
  for ((each = 1; each <= 30; ++each)); do
    id=$(printf '%016x' $((0xe0000 + 100 * round + each)))
    submit "$id" $((each % 3 + 1)) && accepted+=("$id")
    sleep 0.03
    [ "$each" = 10 ] &&
      platform_control '{"store_down_ms":500,"how":"early"}'
  done
done
for id in "${accepted[@]}"; do
  node_wait 60 "job $id" has_ended "$id"
  state_of "$id" | grep -q completed || fail "job $id is shown as failed"
done
echo "ok: ${#accepted[@]} jobs completed beside $rounds spells of early refusals"
! grep -hq 'event=owner.record_invalid' "$node_dir"/*.log ||
  fail "a record was taken for invalid"
echo "ok: no record was taken for invalid"

node_signal platform TERM
node_join platform || fail "a guarantee was violated: $(grep broken "$node_dir/platform.log")"
grep 'broken promises 0' "$node_dir/platform.log"
