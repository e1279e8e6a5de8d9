#!/usr/bin/env bash
# Tests that the administration API requires its token and listener, that invalid
# input is reported and changes nothing, and that request and connection limits
# are enforced.
source "$(dirname "$0")/lib.sh"
export CLUSTER_SETTINGS=$'[limits]\nheader_bytes = 2048\nbody_bytes = 4096\ncaller_connections = 20\ntasks_per_job = 100'
cluster_start "$repo/run/test-admin" 1 2 "$1"
cluster_configure
callers="http://127.0.0.1:$(caller_port 1)"
admin="http://127.0.0.1:$(admin_port 1)"
status() { curl -s --max-time 10 -o "$cluster_dir/body" -w '%{http_code}' "$@"; }
auth=(-H "Authorization: Bearer $CATKINSEAM_TOKEN")
expect() {
  local wanted=$1 text=$2
  shift 2
  local got
  got=$(status "$@")
  [ "$got" = "$wanted" ] || fail "expected status $wanted, got $got: $* $(cat "$cluster_dir/body")"
  grep -q -- "$text" "$cluster_dir/body" || fail "no \"$text\" in $(cat "$cluster_dir/body")"
}

expect 401 'token is missing' "$admin/v1/config"
expect 401 'token is missing' -H 'Authorization: Bearer wrong' "$admin/v1/config"
expect 200 '"version":2' "${auth[@]}" "$admin/v1/config"
expect 404 'does not exist' "${auth[@]}" "$admin/v1/nothing"
expect 400 'does not take DELETE' -X DELETE "${auth[@]}" "$admin/v1/config"
# On the callers' listener the same path is an ordinary upstream request.
expect 200 'served' "${auth[@]}" "$callers/v1/config"
pass "the administration API requires its token and its listener"

expect 400 'not a JSON object' -X POST "${auth[@]}" -d '[1' "$admin/v1/jobs"
expect 400 '\\"id\\" must be a name' -X POST "${auth[@]}" -d '{}' "$admin/v1/jobs"
expect 400 '\\"tasks\\" must be from 1 to 100' -X POST "${auth[@]}" \
  -d '{"id":"j","team":"t","tasks":101}' "$admin/v1/jobs"
expect 400 'processors_milli' -X POST "${auth[@]}" -d '{"id":"j","team":"t"}' "$admin/v1/jobs"
expect 400 'base' -X POST "${auth[@]}" -d '{"id":"p","author":"a","changes":{}}' "$admin/v1/config/patches"
expect 422 'unknown path' -X POST "${auth[@]}" \
  -d '{"id":"p1","author":"a","base":2,"changes":{"odd":1}}' "$admin/v1/config/patches"
expect 400 'must hold names only' -X POST "${auth[@]}" -d '{"jobs":["a",{}]}' "$admin/v1/jobs/cancel"
expect 404 'nothing was' -X POST "${auth[@]}" -d '{"jobs":["none"]}' "$admin/v1/jobs/cancel"
expect 200 '"version":2' "${auth[@]}" "$admin/v1/config"
pass "invalid input is reported and changes nothing"

expect 400 'Catkinseam-Deadline-Ms' -H 'Catkinseam-Deadline-Ms: soon' "$callers/x"
expect 400 'Idempotency-Key' -H "Idempotency-Key: $(printf 'k%.0s' $(seq 1 201))" "$callers/x"
expect 431 'header exceeds 2048 bytes' -H "X-Long: $(printf 'x%.0s' $(seq 1 3000))" "$callers/x"
expect 413 'body exceeds 4096 bytes' -X POST --data-binary "$(printf 'x%.0s' $(seq 1 5000))" "$callers/x"
pass "limits on request headers and bodies are enforced"

for ((i = 0; i < 20; ++i)); do
  curl -s --max-time 6 "$callers/x?work_ms=2000" -H 'Catkinseam-Deadline-Ms: 5000' >/dev/null &
done
sleep 1
expect 503 'connection limit reached' "$callers/x"
expect 200 'alive' "$admin/healthz"
expect 200 'catkinseam_requests_total' "$admin/metrics"
pass "connections beyond the limit get 503; health and metrics stay available"

"$bin/catkinseam" check "$cluster_dir/entry-1.toml" >/dev/null || fail "valid settings were rejected"
sed 's/^seat = .*/seat = 9\ncolour = 1/' "$cluster_dir/entry-1.toml" >"$cluster_dir/bad.toml"
code=0
"$bin/catkinseam" serve --settings "$cluster_dir/bad.toml" 2>"$cluster_dir/faults.txt" || code=$?
[ "$code" -eq 2 ] || fail "serve with invalid settings exited with code $code"
[ "$(grep -c 'line ' "$cluster_dir/faults.txt")" -eq 2 ] || fail "expected 2 settings errors: $(cat "$cluster_dir/faults.txt")"
pass "invalid settings prevent the start and every error is listed"
for example in "$repo"/examples/*.toml; do
  "$bin/catkinseam" check "$example" >/dev/null || fail "$example was rejected"
done
pass "the example settings are valid"
