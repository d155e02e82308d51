#!/usr/bin/env bash
# One process with all roles: malformed bodies on each of its HTTP interfaces are
# refused, and the process goes on.
set -euo pipefail
bin=$1
source "$(dirname "$0")/process_library.sh"

start_standin target "$bin/standin-target" --service-ms 5
start_standin worker "$bin/standin-worker"
interfaces=(caller worker operator)
for name in "${interfaces[@]}"; do
  reserve "$name"
done
release_reserved "${interfaces[@]}"
workflow="\"workflow\": {\"caller_listen\": \"$reserved_caller\",
  \"worker_listen\": \"$reserved_worker\",
  \"operator_listen\": \"$reserved_operator\"}"
settings=$(embedded_settings all "$address_target" "$address_worker")
start_daemon all "${settings%\}}, $workflow}"
wait_until "there is a leader" apply_configuration "$http_all"

# check_refused ADDRESS PATH BODY: the body gets status 400, and the process goes
# on.
check_refused() {
  http POST "$1" "$2" "$3" >"$work/answer" || true
  grep -q '^HTTP/1.1 400 ' "$work/answer" ||
    fail "$2 ${3:0:40}: $(head -n 1 "$work/answer")"
  kill -0 "$pid_all" 2>/dev/null || fail "$2 ${3:0:40} ended the process"
}

# Guards against a process that ends because of one body: a number that no type
# holds, deep nesting, or bytes that are not UTF-8.
deep=$(printf '[%.0s' {1..20000})
for body in '{"version": 1e400, "born": 1e400}' "$deep" $'"\xff\xfe"' '{' '1e400'; do
  check_refused "$reserved_caller" /queue/00000000000000ff "$body"
  check_refused "$reserved_worker" /Instances.Heartbeat/i-1 "$body"
  check_refused "$reserved_worker" /Instances.Deregister/i-1 "$body"
  check_refused "$reserved_operator" /Config.Replace "$body"
  check_refused "$http_all" /v1/configuration "$body"
  check_refused "$http_all" /v1/jobs "$body"
done

job=$(submit_job "$http_all" 2 50)
tool wait --address "$http_all" "$job" --limit-s "$wait_limit" >/dev/null ||
  fail "job $job did not complete"
echo "passed"
