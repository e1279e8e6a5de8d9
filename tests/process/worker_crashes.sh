#!/usr/bin/env bash
# Guards against jobs that are shown as failed though none of their runs failed:
# workers crash and start again under their ids for reasons of their own, beside a
# steady load, an outage of the store and the loss of the owner. A job that does crash
# its workers is given up.
# The platform process checks the workers' history when it is stopped.
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/../../scripts/lib/nodes.sh"
trap nodes_stop EXIT

fail() {
  echo "FAIL: $*" >&2
  grep -h 'event=job.failed' "$node_dir"/*.log >&2 || true
  exit 1
}

workers=12
rounds=${CRASH_ROUNDS:-16}
RANDOM=${CRASH_SEED:-7}
job='{"spec":"batch","steps":[{"count":6,"cpu":400,"memMb":100,"estimatedMs":300}]}'

platform_start "$1" $workers
for number in 1 2 3; do node_start "$number"; done
for number in 1 2 3; do
  node_wait 20 "node $number" node_is_ready "$number"
done
has_owner() { [ -n "$(node_owner)" ]; }
node_wait 20 "an owner" has_owner

# Nodes that are down refuse: the next one is asked.
submit() {
  local number
  for number in 1 2 3 1 2 3; do
    [ "$(curl -s --max-time 3 -o /dev/null -w '%{http_code}' -X POST \
      -H 'Host: tally.example' -d "$job" \
      "http://127.0.0.1:$(node_port "$number")/counts/$1")" = 200 ] && return
  done
  return 1
}
job_id() { printf '%016x' $((0xa0000 + $1)); }
state_of() {
  local number
  for number in 1 2 3 1 2 3; do
    node_call "$number" GET "/counts/$1" | grep -o '"state":"[a-z_]*"' && return
  done
}
has_ended() { state_of "$1" | grep -qE 'completed|failed'; }

accepted=()
for ((round = 1; round <= rounds; ++round)); do
  for ((each = 1; each <= 12; ++each)); do
    id=$(job_id $((${#accepted[@]} + 1)))
    submit "$id" && accepted+=("$id")
    sleep 0.03
    # One worker is down at a time.
    [ "$each" = 4 ] &&
      platform_control "{\"crash_worker\":$((RANDOM % workers)),\"down_ms\":$((RANDOM % 400))}"
  done
  [ "$round" = 6 ] && platform_control '{"store_down_ms":1500}'
  if [ "$round" = 10 ]; then
    owner=$(node_owner)
    node_signal "node-$owner" KILL
    node_join "node-$owner" || true
    node_start "$owner"
  fi
done
for id in "${accepted[@]}"; do
  node_wait 60 "job $id" has_ended "$id"
  state_of "$id" | grep -q completed || fail "job $id is shown as failed"
done
echo "ok: ${#accepted[@]} jobs completed beside $rounds crashes of workers"

submit dead000000000001 || fail "the job that crashes its workers was not accepted"
node_wait 90 "the job that crashes its workers" has_ended dead000000000001
state_of dead000000000001 | grep -q failed || fail "it is shown as completed"
echo "ok: a job whose tasks crash their workers is shown as failed"

node_signal platform TERM
node_join platform || fail "a guarantee was violated: $(grep broken "$node_dir/platform.log")"
grep 'broken promises 0' "$node_dir/platform.log"
