#!/usr/bin/env bash
# Tests that clients that never complete a request, or never read a response,
# neither end an entry nor keep it from ordinary callers.
#
#   hostile_serve.sh PORT_BASE CASE
#
# The crowd does not go away by itself: ordinary requests are served beside it, and
# again after it. Memory and descriptors of the entry stay under bounds that follow
# from the smallest machine and from the settings.
source "$(dirname "$0")/lib.sh"
base=$1 case=$2
memory_bound_kb=$((260 * 1024))
descriptor_bound=512
# The crowds exceed these limits and the threads that are kept for rejections.
few=$'[limits]\ncaller_connections = 20\nadmin_connections = 20\nread_timeout_ms = 1000\nidle_timeout_ms = 1000'
crowd_size=50
chunked=$'POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
listener=caller_port start="" fill=0 piece="" pause_ms=0
export CLUSTER_SETTINGS=$few
case $case in
trailers) start="${chunked}0"$'\r\nX-T: ' piece=xxxxxxxx ;;
chunk_extension) start="${chunked}5;" piece=xxxxxxxx ;;
slow_bodies) start=$'POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n' piece=x pause_ms=100 ;;
partial_bodies)
  # The limits are the defaults: 400 bodies of 1 MB that lack their last byte.
  CLUSTER_SETTINGS="" crowd_size=400 descriptor_bound=1536
  start=$'POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 1048576\r\n\r\n' fill=1048575
  ;;
unread_replies) start=$'GET /x HTTP/1.1\r\nHost: x\r\n\r\n' piece=$start ;;
admin_trailers) listener=admin_port start="${chunked}0"$'\r\nX-T: ' piece=xxxxxxxx ;;
admin_unread_replies)
  listener=admin_port start=$'GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n' piece=$start
  ;;
peer_frames)
  # Four bytes that announce a frame of 256 MB.
  listener=peer_port crowd_size=4 start=$'\xff\xff\xff\x0f'
  ;;
*) fail "unknown case $case" ;;
esac

cluster_start "$repo/run/test-hostile-serve-$case" 1 2 "$base"
cluster_configure
callers="http://127.0.0.1:$(caller_port 1)"
entry_pid=${cluster_pids[entry-1]}
is_served() { curl -fs --max-time 5 "$callers/ordinary" | grep -q served; }
is_healthy() { curl -fs --max-time 5 "http://127.0.0.1:$(admin_port 1)/healthz" | grep -q alive; }
# check_bounds WHEN: checks that the entry lives, its peak memory and descriptors.
check_bounds() {
  kill -0 "$entry_pid" 2>/dev/null || fail "the entry ended $1"
  local memory_kb descriptors
  memory_kb=$(awk '/^VmHWM/ { print $2 }' "/proc/$entry_pid/status")
  descriptors=$(find "/proc/$entry_pid/fd" -mindepth 1 -maxdepth 1 | wc -l)
  echo "$1: peak memory $memory_kb kB, $descriptors descriptors"
  [ "$memory_kb" -le "$memory_bound_kb" ] || fail "peak memory is $memory_kb kB $1"
  [ "$descriptors" -le "$descriptor_bound" ] || fail "$descriptors descriptors are open $1"
}
crowd_has_started() { grep -q started "$cluster_dir/crowd.log"; }

cluster_wait 60 "an ordinary request before the crowd" is_served ||
  fail "an ordinary request is not served"
check_bounds "before the crowd"
cluster_run crowd "$bin/catkinseam-hostile-crowd" --target "127.0.0.1:$("$listener" 1)" \
  --connections "$crowd_size" --start "$start" --fill "$fill" --piece "$piece" \
  --pause-ms "$pause_ms"
cluster_wait 60 "the crowd" crowd_has_started || fail "the crowd has not started"
check_bounds "beside the crowd"
cluster_wait 60 "an ordinary request beside the crowd" is_served ||
  fail "ordinary requests are not served beside the crowd"
cluster_wait 60 "the health of the entry beside the crowd" is_healthy ||
  fail "the entry's health is not answered beside the crowd"
check_bounds "beside the crowd, after an ordinary request"
cluster_signal crowd TERM
cluster_join crowd || true
cluster_wait 60 "an ordinary request after the crowd" is_served ||
  fail "ordinary requests are not served after the crowd"
check_bounds "after the crowd"
pass "ordinary requests are served beside and after the crowd"
