#!/usr/bin/env bash
# One process with all roles: requests and a job end to end, a target killed
# during a non-idempotent request, a graceful shutdown with requests in flight,
# and durable state across a restart.
set -euo pipefail
bin=$1
source "$(dirname "$0")/process_library.sh"

start_standin target "$bin/standin-target" --service-ms 5
start_standin worker "$bin/standin-worker"
start_daemon all "$(embedded_settings all "$address_target" "$address_worker")"
wait_until "there is a leader" apply_configuration "$http_all"
wait_until "the entry knows the target" knows_target "$http_all"

# Guards against a reply that belongs to another request.
for i in 1 2 3; do
  call "$http_all" wallwright/preview "wall $i" >"$work/answer"
  [ "$(outcome "$work/answer")" = answered ] || fail "request $i: $(cat "$work/answer")"
  grep -q "wall $i" "$work/answer" || fail "request $i got another body"
done
[ "$(executions "$address_target" executions)" = 3 ] || fail "not 3 executions"

# Guards against a refused request whose reply does not say that it did not run.
call "$http_all" nosuch/preview x "Fulmarrock-Deadline-Ms: 200" >"$work/answer"
[ "$(outcome "$work/answer")" = not_run ] || fail "unknown service: $(cat "$work/answer")"

# Guards against an entry that does not show operators its targets.
tool targets "$http_all" | grep -q '^wallwright ' || fail "no target is shown"

# Guards against a daemon that starts its agent without one of the parts.
tool dump "$http_all" >"$work/dump"
for part in requests tasks throttle; do
  grep -q "\"$part\"" "$work/dump" || fail "the agent has no part $part"
done

# Guards against a job whose tasks do not run, run only in part or run twice.
job=$(submit_job "$http_all" 5 50)
tool wait --address "$http_all" "$job" --limit-s "$wait_limit" >/dev/null ||
  fail "job $job did not complete"
[ "$(executions "$address_worker" completed)" = 5 ] || fail "not 5 completions"
[ "$(executions "$address_worker" largest_repeat)" = 1 ] || fail "a task ran twice"

# Guards against an outcome "not run", and against a second execution, for a
# non-idempotent request whose target was killed while it ran.
http POST "$address_target" /behaviour '{"service_ms": 600000}' >/dev/null
call "$http_all" wallwright/order "buy" "Fulmarrock-Deadline-Ms: 60000" \
  >"$work/killed" &
caller=$!
wait_until "the request runs" runs_at_least "$address_target" 1
kill -KILL "$pid_target"
wait "$caller"
[ "$(outcome "$work/killed")" = outcome_unknown ] ||
  fail "killed target: $(cat "$work/killed")"
grep -q ' 504 ' "$work/killed" || fail "outcome unknown without status 504"

# Guards against a graceful shutdown that interrupts requests or hangs.
start_standin target "$bin/standin-target" --listen "$address_target" --service-ms 700
wait_until "the target is used again" bash -c "$(declare -f http call outcome)
  call $http_all wallwright/probe x >$work/probe && [ \"\$(outcome $work/probe)\" = answered ]"
callers=()
for i in 1 2 3 4; do
  call "$http_all" wallwright/preview "last $i" >"$work/last-$i" &
  callers+=($!)
done
wait_until "the requests run" runs_at_least "$address_target" 4
kill -TERM "$pid_all"
wait "${callers[@]}"
for i in 1 2 3 4; do
  [ "$(outcome "$work/last-$i")" = answered ] || fail "request interrupted by the shutdown"
done
wait_for_exit all 0

# Guards against a job or configuration that was accepted and is lost by a restart.
start_daemon all "$(embedded_settings all "$address_target" "$address_worker")"
wait_until "the job is known again" tool show --address "$http_all" "$job"
tool show --address "$http_all" "$job" | grep -q '5 completed' || fail "the job is not complete"
tool get --address "$http_all" | grep -q north-gallery || fail "the configuration is lost"

# Guards against a process that cannot be stopped while a request hangs.
wait_until "the entry knows the target" knows_target "$http_all"
http POST "$address_target" /behaviour '{"frozen": true}' >/dev/null
call "$http_all" wallwright/order x "Fulmarrock-Deadline-Ms: 600000" >"$work/hung" &
wait_until "the request hangs" runs_at_least "$address_target" 1
kill -TERM "$pid_all"
wait_until "the shutdown begins" grep -q 'graceful shutdown begins' "$work/all.log"
kill -TERM "$pid_all"
wait_for_exit all 1
echo "passed"
