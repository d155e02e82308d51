#!/usr/bin/env bash
# Guards against a process that exits, or acts for control, because its log is
# damaged: it has to stay up, say why it is not ready, and go on once an operator
# has put the log right.
set -euo pipefail
bin=$1
source "$(dirname "$0")/process_library.sh"

settings='{"node": "c1", "data_centre": "dc1", "roles": ["control"],
  "peer_listen": "127.0.0.1:0", "http_listen": "127.0.0.1:0",
  "data_folder": "'"$work/data"'",
  "control": [{"node": "c1", "peer": "127.0.0.1:0"}]}'

start_daemon c1 "$settings"
wait_until "there is a leader" apply_configuration "$http_c1"
kill -KILL "$pid_c1"
wait_for_exit c1 137

# The first frame holds the initial members; its payload starts at byte 40.
log=$(ls "$work"/data/log-*)
cp "$log" "$work/saved-log"
printf '\377\377\377\377' | dd of="$log" bs=1 seek=44 conv=notrunc status=none

start_daemon c1 "$settings"
http GET "$http_c1" /healthz >"$work/health"
grep -q ' 503 ' "$work/health" || fail "a member with a damaged log is ready"
http GET "$http_c1" /dump | grep -q 'is damaged at byte' ||
  fail "the state dump does not name the damage"
http GET "$http_c1" /metrics | grep -q 'member_failures' ||
  fail "no metric counts the failure"
grep -q '"decision":"member_failed"' "$work/c1.log" || fail "no log line tells it"
if tool apply --timeout-s 1 --address "$http_c1" "$work/configuration.json" \
    >"$work/apply" 2>&1; then
  fail "a member with a damaged log accepted a change"
fi

cp "$work/saved-log" "$log"
is_ready() {
  http GET "$http_c1" /healthz | grep -q ' 200 '
}
wait_until "the member is ready again" is_ready
tool get --address "$http_c1" | grep -q north-gallery ||
  fail "the configuration is lost"

kill -TERM "$pid_c1"
wait_for_exit c1 0
echo "passed"
