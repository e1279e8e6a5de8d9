#!/usr/bin/env bash
# Tests that a program whose port is in use reports it and exits with 5 instead of
# aborting.
set -euo pipefail
bin=${CATKINSEAM_BIN:-$(dirname "${BASH_SOURCE[0]}")/../../build/bin}
port=$1
out=$(mktemp)
"$bin/standin-platform" --listen "127.0.0.1:$port" &
first=$!
trap 'kill "$first" 2>/dev/null || true; rm -f "$out"' EXIT
for _ in $(seq 100); do
  curl -s -o /dev/null --max-time 1 "http://127.0.0.1:$port/" && break
  sleep 0.1
done

# expect_port_error NAME COMMAND...: COMMAND must report the port and exit with 5.
expect_port_error() {
  local name=$1 code=0
  shift
  "$@" >"$out" 2>&1 || code=$?
  if [ "$code" -ne 5 ] || ! grep -q "cannot" "$out"; then
    echo "FAIL: $name exited with $code:" >&2
    cat "$out" >&2
    exit 1
  fi
  echo "ok: $name: $(head -n 1 "$out")"
}

expect_port_error standin-platform "$bin/standin-platform" --listen "127.0.0.1:$port"
expect_port_error standin-workers "$bin/standin-workers" --count 1 \
  --base-port "$port" --platform 127.0.0.1:1 --history /dev/null
cat >"$out.toml" <<TOML
[node]
name = "n"
data_centre = "a"
callers = "127.0.0.1:$port"
readiness = "127.0.0.1:$((port + 1))"
metrics = "127.0.0.1:$((port + 2))"
[platform]
store = "127.0.0.1:1"
TOML
expect_port_error node "$bin/catkinseam" node --settings "$out.toml"
rm -f "$out.toml"
