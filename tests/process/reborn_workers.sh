#!/usr/bin/env bash
# Guards against tasks that run twice at once: workers lose power while starts are
# under way to them, start again under their ids at once, and are cut off from the
# nodes soon after, beside the loss of the owner.
# The platform process checks the workers' history when it is stopped.
#
# REBORN_ROUNDS, REBORN_SEED: number of rounds, and the seed of all choices.
# REBORN_LINKS: what becomes of a worker's connections, reset, keep or lose (see
# dark_worker in standin/fault_injection.h), late: reset, and orders are carried out
# late, also by the next incarnation, or soon: lose, with late orders, and the cut
# follows the start at once. REBORN_OWNER: kill, freeze, stop or none, which befalls
# the owner. REBORN_NODES, REBORN_WORKERS: number of each; a quarter of the
# workers lose power in a round. REBORN_KEEP: where the logs of a failure go.
set -euo pipefail
node_count=${REBORN_NODES:-3} workers=${REBORN_WORKERS:-16}
source "$(dirname "${BASH_SOURCE[0]}")/../../scripts/lib/nodes.sh"

rounds=${REBORN_ROUNDS:-2}
seed=${REBORN_SEED:-7}
links=${REBORN_LINKS:-reset}
owner_fate=${REBORN_OWNER:-kill}
RANDOM=$seed
case $links in
reset | keep | lose | late | soon) ;;
*) echo "unknown kind of links: $links" >&2 && exit 2 ;;
esac
case $owner_fate in
kill | freeze | stop | none) ;;
*) echo "unknown fate of the owner: $owner_fate" >&2 && exit 2 ;;
esac
# Some of the tasks are long, so that the workers keep room for more.
job_of() {
  printf '{"spec":"run_ms=%s","steps":[{"count":8,"cpu":100,"memMb":50,"estimatedMs":%s}]}' "$1" "$1"
}

finish() {
  local code=$?
  if [ "$code" != 0 ] && [ -n "${REBORN_KEEP:-}" ]; then
    mkdir -p "$REBORN_KEEP"
    cp "$node_dir"/* "$REBORN_KEEP" || true
  fi
  nodes_stop
}
trap finish EXIT

fail() {
  echo "FAIL: $*" >&2
  exit 1
}

platform_start "$1" $workers --seed "$seed"
for ((number = 1; number <= node_count; ++number)); do node_start "$number"; done
for ((number = 1; number <= node_count; ++number)); do
  node_wait 20 "node $number" node_is_ready "$number"
done
has_owner() { [ -n "$(node_owner)" ]; }
node_wait 20 "an owner" has_owner

# submit NUMBER: hands in a job. Nodes that are down refuse: the next one is asked.
submit() {
  local number id run_ms=1000
  [ $(($1 % 3)) -ne 0 ] || run_ms=11000
  id=$(printf '%016x' $((0xb0000 + $1)))
  for ((number = 1; number <= node_count; ++number)); do
    [ "$(curl -s --max-time 1 -o /dev/null -w '%{http_code}' -X POST \
      -H 'Host: tally.example' -d "$(job_of $run_ms)" \
      "http://127.0.0.1:$(node_port "$number")/counts/$id")" = 200 ] || continue
    echo "$id" >>"$node_dir/accepted"
    return
  done
}
submit_all_the_while() {
  local count=0
  while [ -e "$node_dir/submitting" ]; do
    count=$((count + 1))
    submit $count
    sleep 0.05
  done
}
touch "$node_dir/submitting" "$node_dir/accepted"
submit_all_the_while &
node_pids[submitter]=$!

between() { printf '%d.%03d' $(($1 / 1000)) $(($1 % 1000)); }
# pause MIN MAX: waits for a drawn number of milliseconds.
pause() {
  # RANDOM would be seeded anew in a subshell.
  local drawn=$(($1 + RANDOM % ($2 - $1 + 1)))
  sleep "$(between $drawn)"
}

lose_owner() {
  local owner
  node_wait 20 "an owner to lose" has_owner
  owner=$(node_owner)
  lost=$owner
  case $owner_fate in
  kill)
    platform_control '{"node_fault_ms":0}'
    node_signal "node-$owner" KILL
    node_join "node-$owner" 2>/dev/null || true
    ;;
  freeze) platform_control '{"node_fault_ms":8000}' && node_signal "node-$owner" STOP ;;
  stop) node_signal "node-$owner" TERM ;;
  esac
}
restore_owner() {
  case $owner_fate in
  kill) node_start "$lost" ;;
  freeze) node_signal "node-$lost" CONT ;;
  stop) node_join "node-$lost" || true; node_start "$lost" ;;
  esac
}

cut_off_group() {
  local each
  for each in "${group[@]}"; do
    platform_control "{\"cut_worker\":$each,\"for_ms\":9000,\"how\":\"silent\"}"
  done
}

sleep 4
for ((round = 1; round <= rounds; ++round)); do
  first=$((RANDOM % workers))
  group=()
  for ((each = 0; each < workers / 4; ++each)); do
    group+=($(((first + each) % workers)))
  done
  how=$links
  case $links in
  late) how=reset ;;
  soon) how=lose ;;
  esac
  if [ "$links" != "$how" ]; then
    platform_control '{"orders_late":0.5,"for_ms":900,"across":1}'
    pause 200 700
  fi
  for each in "${group[@]}"; do
    platform_control "{\"dark_worker\":$each,\"down_ms\":600,\"how\":\"$how\"}"
  done
  if [ "$links" = soon ]; then
    pause 620 700
    cut_off_group
    lose_owner
  else
    pause 650 2100
    lose_owner
    pause 50 600
    cut_off_group
  fi
  [ "$owner_fate" = freeze ] && sleep 7.5 || sleep 0.5
  restore_owner
  [ "$owner_fate" = freeze ] && sleep 4 || sleep 11
done
rm "$node_dir/submitting"
node_join submitter || true

state_of() {
  local number
  for number in $(seq "$node_count") $(seq "$node_count"); do
    node_call "$number" GET "/counts/$1" | grep -o '"state":"[a-z_]*"' && return
  done
}
has_ended() { state_of "$1" | grep -qE 'completed|failed'; }
while read -r id; do
  node_wait 60 "job $id" has_ended "$id"
done <"$node_dir/accepted"
echo "seed $seed: $(wc -l <"$node_dir/accepted") jobs ended beside $rounds rounds"

node_signal platform TERM
node_join platform ||
  fail "a guarantee was violated ($links, $owner_fate, seed $seed): $(grep -h broken "$node_dir/platform.log" | head -5)"
grep 'broken promises 0' "$node_dir/platform.log"
