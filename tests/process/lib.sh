# Helpers for the process tests. They run real processes on loopback, inject faults
# by signals and through the stand-ins' /control, and check the event histories.
# Tests wait for conditions and assert safety; none asserts on elapsed time.

set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/../../scripts/lib/cluster.sh"
trap cluster_stop EXIT

fail() {
  echo "FAIL: $*" >&2
  tail -n 5 "$cluster_dir"/*.log >&2 || true
  exit 1
}

pass() { echo "ok: $*"; }

# load_start NAME RATE SECONDS KIND...: starts a load generator in the background
# that sends to ready entries, as a load balancer does. RATE is in requests per
# second.
load_start() {
  local name=$1 rate=$2 seconds=$3
  shift 3
  local arguments=()
  for ((seat = 1; seat <= cluster_seats; ++seat)); do
    arguments+=(--target "127.0.0.1:$(caller_port "$seat")")
    arguments+=(--admin "127.0.0.1:$(admin_port "$seat")")
  done
  for kind in "$@"; do arguments+=(--kind "$kind"); done
  cluster_run "load-$name" "$bin/catkinseam-load" "${arguments[@]}" \
    --profile "0:$rate,$seconds:$rate" --threads 120 --prefix "$name-" \
    --history "$cluster_dir/callers.history" --json "$cluster_dir/$name.json"
}

load_join() { cluster_join "load-$1" || fail "load $1 failed"; }

# load_sum NAME FIELD: prints the sum of a field over all kinds in the load summary.
load_sum() {
  grep -o "\"$2\":[0-9]*" "$cluster_dir/$1.json" | cut -d: -f2 | paste -sd+ | bc
}

# check_history NAME: checks all history files of this run, then reports NAME as
# passed.
check_history() {
  "$bin/catkinseam-check-history" "$cluster_dir"/*.history || fail "history check: $1"
  pass "$1"
}

job_state() { cluster_cli "$1" job status "$2" 2>/dev/null | sed -n 's/^state = "\(.*\)"$/\1/p'; }
job_is() { [ "$(job_state "$1" "$2")" = "$3" ]; }

config_version() { cluster_cli "$1" config show 2>/dev/null | sed -n 's/^version = //p'; }
version_is() { [ "$(config_version "$1")" = "$2" ]; }

# patch SEAT ID BASE JSON: submits a configuration patch and returns the command's
# exit code.
patch() {
  echo "$4" >"$cluster_dir/patch-$2.json"
  cluster_cli "$1" config submit "$cluster_dir/patch-$2.json" --base "$3" --id "$2" --author test
}

# log_fault FAULT: up, down, lose_answers or slow.
log_fault() { cluster_control "$(cluster_port 0)" "{\"log\":\"$1\"}"; }

# worker_control N JSON: injects faults into worker N, counted from 1.
worker_control() { cluster_control $(($(worker_base_port) + 2 * ($1 - 1) + 1)) "$2"; }

instance_state() {
  curl -fs --max-time 5 -X POST -d "{\"instances\":[{\"name\":\"$1\",\"state\":\"$2\"}]}" \
    "http://127.0.0.1:$(cluster_port 0)/instances" >/dev/null
}

now_micros() { "$bin/catkinseam-check-history" --now; }
