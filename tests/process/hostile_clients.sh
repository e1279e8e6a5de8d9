#!/usr/bin/env bash
# Guards against clients that do not behave: crowds of them must neither end a node
# nor take its memory or descriptors, and others must still be answered. The case,
# the second argument, names the crowd. The bounds are the memory of the smallest
# machine that a node runs on, and the setting `descriptors`.
set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/../../scripts/lib/nodes.sh"
trap nodes_stop EXIT

memory_bytes=260000000
body_bytes=262143
append_bytes=2097152

fail() {
  echo "FAIL: $*" >&2
  cat "$node_dir"/crowd*.log >&2 || true
  tail -n 5 "$node_dir/node-1.log" >&2
  exit 1
}

# start DESCRIPTORS: starts a platform and one node, and waits until it is ready.
start() {
  descriptors=$1
  node_settings=$'[limits]\ndescriptors = '$descriptors
  platform_start "$port" 2
  node_start 1
  node_pid=${node_pids[node-1]}
  node_wait 20 "the node" node_is_ready 1
}

# address NAME: prints the port of an address of the node.
address() {
  case $1 in
  callers) node_port 1 ;;
  readiness) echo $(($(node_port 1) + 1)) ;;
  metrics) echo $(($(node_port 1) + 2)) ;;
  peers) echo $(($(node_port 1) + 3)) ;;
  esac
}

# crowd ADDRESS MODE ARGUMENT...: runs a crowd at an address until it is in place.
crowd() {
  "$node_bin/hostile-clients" --port "$(address "$1")" --mode "$2" --host tally.example \
    --seconds 90 --seed 1 --leave "${@:3}" >"$node_dir/crowd-$1.log" 2>&1 ||
    fail "the crowd at $1 failed"
  echo "$1: $(tail -n 1 "$node_dir/crowd-$1.log")"
}

crowd_is_in_place() {
  grep -qs '^in place' "$node_dir/crowd-$1.log" || ! kill -0 "${node_pids[crowd-$1]}" 2>/dev/null
}

# crowd_stays ADDRESS MODE ARGUMENT...: starts a crowd that stays, and waits until it
# is in place.
crowd_stays() {
  "$node_bin/hostile-clients" --port "$(address "$1")" --mode "$2" --host tally.example \
    --seconds 180 --seed 1 "${@:3}" >"$node_dir/crowd-$1.log" 2>&1 &
  node_pids[crowd-$1]=$!
  node_wait 90 "the crowd at $1" crowd_is_in_place "$1"
}

# crowd_leaves ADDRESS: ends a crowd that stays.
crowd_leaves() {
  node_signal "crowd-$1" TERM 2>/dev/null || true
  node_join "crowd-$1" || fail "the crowd at $1 failed"
  echo "$1: $(tail -n 1 "$node_dir/crowd-$1.log")"
}

status_at() {
  local path=/counts/
  [ "$1" = readiness ] && path=/api/readyz
  [ "$1" = metrics ] && path=/
  [ "$1" = peers ] && path=/nothing
  curl -s --max-time 30 -o /dev/null -w '%{http_code}' -H 'Host: tally.example' \
    "http://127.0.0.1:$(address "$1")$path" || true
}

# answers ADDRESS: whether one ordinary request is answered, except with a refusal.
answers() {
  local status
  status=$(status_at "$1")
  if [ "$1" = peers ]; then
    [[ $status =~ ^[24] ]]
  else
    [ "$status" = 200 ]
  fi
}

open_descriptors() { find "/proc/$node_pid/fd" -mindepth 1 -maxdepth 1 | wc -l; }

# check WHAT: checks the process and its memory and descriptors.
check() {
  kill -0 "$node_pid" 2>/dev/null || fail "$1: the node has ended"
  local peak open
  peak=$(($(sed -n 's/^VmHWM:[^0-9]*\([0-9]*\) kB$/\1/p' "/proc/$node_pid/status") * 1024))
  open=$(open_descriptors)
  echo "$1: peak memory $peak, descriptors $open"
  [ "$peak" -le "$memory_bytes" ] || fail "$1: the node took $peak bytes of memory"
  [ "$open" -le "$descriptors" ] || fail "$1: the node has $open descriptors open"
}

# check_after: checks the node after the crowd, and that it serves each address.
check_after() {
  check "after the crowd"
  local name
  for name in callers readiness metrics peers; do
    node_wait 30 "an answer at $name" answers "$name" || fail "no answer at $name"
  done
  echo "ok: each address answers after the crowd"
}

# case_endless MODE: clients that send a part of a request without end.
case_endless() {
  start 4096
  for each in callers peers readiness metrics; do
    crowd "$each" "$1" --connections 8 --bytes 60000000
    check "a crowd at $each"
  done
  check_after
}

# case_locked_out MODE ARGUMENT...: a crowd larger than the table of callers.
case_locked_out() {
  start 256
  crowd_stays callers "$1" --connections 160 "${@:2}"
  check "during the crowd"
  answers callers || fail "an ordinary caller gets no answer during the crowd"
  crowd_leaves callers
  check_after
}

port=$1
case $2 in
trailers) case_endless trailers ;;
trailer_field) case_endless trailer-field ;;
chunk_extension) case_endless chunk-extension ;;
tiny_chunks) case_endless tiny-chunks ;;
partial_bodies)
  start 4096
  crowd callers partial-body --connections 1500 --path /counts/00000000000e0001 \
    --body-bytes "$body_bytes"
  check "a crowd at callers"
  check_after
  ;;
partial_bodies_at_peers)
  start 4096
  crowd peers partial-body --connections 100 --body-bytes $((2 * append_bytes - 1))
  check "a crowd at peers"
  check_after
  ;;
long_trailer_field)
  start 4096
  for each in callers peers readiness metrics; do
    {
      printf 'POST / HTTP/1.1\r\nHost: tally.example\r\nTransfer-Encoding: chunked\r\n\r\n'
      printf '0\r\nX-Field: %070000d\r\n\r\n' 0
    } >"/dev/tcp/127.0.0.1/$(address "$each")" || true
    node_wait 30 "an answer at $each" answers "$each" || fail "no answer at $each"
    check "a client at $each"
  done
  check_after
  ;;
slow_headers) case_locked_out slow-header ;;
idle_connections) case_locked_out idle ;;
unread_replies) case_locked_out unread-replies --path /counts/ --bytes 8000000 ;;
unread_refusals) case_locked_out unread-replies --path /nowhere/ --bytes 8000000 ;;
unread_replies_kept)
  start 256
  before=$(open_descriptors)
  crowd_stays callers unread-replies --connections 100 --path /counts/ --bytes 8000000
  replies_are_over() { [ "$(open_descriptors)" -le $((before + 20)) ]; }
  node_wait 60 "the end of the unread replies" replies_are_over ||
    fail "replies that are not read keep their connections"
  crowd_leaves callers
  check_after
  ;;
idle_at_all_addresses)
  start 256
  for each in callers peers readiness metrics; do
    crowd_stays "$each" idle --connections 160
  done
  check "during the crowds"
  for each in callers peers readiness metrics; do
    answers "$each" || fail "an ordinary caller gets no answer at $each during the crowds"
  done
  for each in callers peers readiness metrics; do crowd_leaves "$each"; done
  check_after
  ;;
pipelining)
  start 4096
  crowd callers pipelining --connections 40 --path /counts/00000000000e0001 --bytes 20000000
  check "a crowd at callers"
  check_after
  ;;
*) fail "unknown case \"$2\"" ;;
esac
