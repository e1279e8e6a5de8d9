# Helpers of the process tests: real processes on loopback, faults by signal
# and by the stand-ins' controls, histories checked at the end. No test bounds
# wall time; each waits for conditions and asserts safety.

set -euo pipefail
source "$(dirname "${BASH_SOURCE[0]}")/../../scripts/lib/cluster.sh"
trap cluster_stop EXIT

fail() {
  echo "FAIL: $*" >&2
  tail -n 5 "$cluster_dir"/*.log >&2 || true
  exit 1
}

pass() { echo "ok: $*"; }

# load_start NAME RATE SECONDS KIND...: load through ready entries, as a
# balancer sends it, in the background.
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

# load_sum NAME FIELD: sum of a field over the kinds of a load's summary.
load_sum() {
  grep -o "\"$2\":[0-9]*" "$cluster_dir/$1.json" | cut -d: -f2 | paste -sd+ | bc
}

# check_history NAME: all history files of this run.
check_history() {
  "$bin/catkinseam-check-history" "$cluster_dir"/*.history || fail "history of $1"
  pass "$1"
}

job_state() { cluster_cli "$1" job status "$2" 2>/dev/null | sed -n 's/^state = "\(.*\)"$/\1/p'; }
job_is() { [ "$(job_state "$1" "$2")" = "$3" ]; }

config_version() { cluster_cli "$1" config show 2>/dev/null | sed -n 's/^version = //p'; }
version_is() { [ "$(config_version "$1")" = "$2" ]; }

# patch SEAT ID BASE JSON: submits and returns the command's exit code.
patch() {
  echo "$4" >"$cluster_dir/patch-$2.json"
  cluster_cli "$1" config submit "$cluster_dir/patch-$2.json" --base "$3" --id "$2" --author test
}

log_fault() { cluster_control "$(cluster_port 0)" "{\"log\":\"$1\"}"; }

# worker_control N JSON
worker_control() { cluster_control $(($(worker_base_port) + 2 * ($1 - 1) + 1)) "$2"; }

instance_state() {
  curl -fs --max-time 5 -X POST -d "{\"instances\":[{\"name\":\"$1\",\"state\":\"$2\"}]}" \
    "http://127.0.0.1:$(cluster_port 0)/instances" >/dev/null
}

now_micros() { "$bin/catkinseam-check-history" --now; }
