#!/usr/bin/env bash
# Tests the replicated state under lost log responses, log outages, expiring log
# records, concurrent operators and a restart of all entries.
source "$(dirname "$0")/lib.sh"
export CLUSTER_PLATFORM_ARGS="--retention-ms 6000"
export CLUSTER_SETTINGS=$'[limits]\nread_timeout_ms = 5000'
cluster_start "$repo/run/test-shared-state" 3 2 "$1"
# The entries' log_retention_ms must match the platform's retention.
for seat in 1 2 3; do
  sed -i 's/^instances = .*/&\nlog_retention_ms = 6000/' "$cluster_dir/entry-$seat.toml"
  cluster_signal "entry-$seat" TERM
  cluster_join "entry-$seat" || fail "entry $seat did not stop cleanly"
  cluster_start_entry "$seat"
  cluster_wait 20 "entry $seat" cluster_is_ready "$seat"
done
cluster_configure

code=0
patch 1 stale 1 '{"kinds/shift-count/estimate_ms": 60}' 2>"$cluster_dir/stale.txt" || code=$?
[ "$code" -eq 3 ] || fail "submitting a stale patch exited with code $code"
version_is 2 2 || fail "a stale patch changed the version"
pass "a stale patch is refused"

log_fault lose_answers
patch 2 lost-answer 2 '{"kinds/shift-count/estimate_ms": 61}' >/dev/null || fail "a patch whose log response was lost failed"
log_fault up
cluster_wait 10 "version 3" version_is 1 3
patch 3 lost-answer 2 '{"kinds/shift-count/estimate_ms": 99}' | grep -q 'version = 3' ||
  fail "resubmitting an id returned another outcome"
version_is 3 3 || fail "resubmitting an id changed the version"
pass "an append whose response was lost is read back; resubmitting an id is idempotent"

log_fault down
code=0
patch 1 while-down 3 '{"kinds/shift-count/estimate_ms": 62}' 2>"$cluster_dir/down.txt" || code=$?
[ "$code" -eq 6 ] || [ "$code" -eq 5 ] || fail "a patch during an outage exited with code $code"
sleep 8
version_is 2 3 || fail "an outage changed the version"
cluster_signal entry-3 KILL
cluster_join entry-3 || true
cluster_start_entry 3
cluster_wait 30 "entry 3 started while the log is down" cluster_is_ready 3
version_is 3 3 || fail "entry 3 did not copy the state of a peer"
pass "an entry started while the log is down copies a peer's state"
log_fault up
if [ "$code" -eq 6 ]; then
  cluster_wait 20 "version 4" version_is 1 4
else
  patch 1 after-down 3 '{"kinds/shift-count/estimate_ms": 62}' >/dev/null || fail "a patch after the outage"
  cluster_wait 20 "version 4" version_is 1 4
fi
cluster_wait 10 "version 4 on entry 3" version_is 3 4
pass "an outage longer than the retention loses no state"

# Enough appends and time for the first records to expire.
base=4
for i in $(seq 1 10); do
  patch $((i % 3 + 1)) "tick-$i" "$base" "{\"kinds/shift-count/estimate_ms\": $((60 + i))}" >/dev/null ||
    fail "patch tick-$i"
  base=$((base + 1))
  sleep 0.9
  for seat in 1 2 3; do cluster_wait 10 "version $base on entry $seat" version_is "$seat" "$base"; done
done
expired() {
  ! curl -fs "http://127.0.0.1:$(cluster_port 0)/streams/catkinseam/records?from=0&max=1" |
    grep -q '"first":0,'
}
cluster_wait 20 "records to expire" expired
for seat in 1 2 3; do
  cluster_signal "entry-$seat" KILL
  cluster_join "entry-$seat" || true
done
for seat in 1 2 3; do cluster_start_entry "$seat"; done
for seat in 1 2 3; do
  cluster_wait 30 "entry $seat after all were replaced" cluster_is_ready "$seat"
  version_is "$seat" "$base" || fail "entry $seat restarted at version $(config_version "$seat")"
  cluster_cli "$seat" status | grep -q 'snapshot_divergences = 0' || fail "entry $seat reports snapshot divergences"
done
pass "entries restarted at once recover from the snapshot and the log tail"

# Operators submit patches concurrently from the same base: one is accepted and
# patches are never merged.
race() {
  local operator=$1
  for round in 1 2 3 4 5; do
    local read
    read=$(config_version "$((operator % 3 + 1))")
    if patch "$((operator % 3 + 1))" "race-$operator-$round" "$read" \
      "{\"kinds/k$operator/estimate_ms\": $round}" >/dev/null 2>&1; then
      echo "race-$operator-$round" >>"$cluster_dir/won-$operator.txt"
    fi
  done
}
racers=()
for operator in 1 2 3 4; do
  race "$operator" &
  racers+=($!)
done
wait "${racers[@]}"
won=$(cat "$cluster_dir"/won-*.txt | wc -l)
expected=$((base + won))
for seat in 1 2 3; do cluster_wait 10 "version $expected" version_is "$seat" "$expected"; done
for id in $(cat "$cluster_dir"/won-*.txt); do
  [ "$(cluster_cli 1 config history --limit 500 | grep -c " $id ")" -eq 1 ] || fail "$id does not have exactly one version"
done
pass "concurrent operators: $won patches accepted, one version each"
