#!/usr/bin/env bash
# TROUBLE=0 runs the case without the disruption. Writes record.txt here. Exits
# with 1 if the rule was broken, 0 if it held, 2 if the case could not run, also
# if it was ended from outside.
cd "$(dirname "$0")" || exit 2
python3 -B case.py record.txt &
child=$!
trap 'kill -TERM "$child"' TERM INT HUP
wait "$child"
status=$?
while kill -0 "$child" 2>/dev/null; do
  wait "$child"
  status=$?
done
case $status in
  0) exit 0 ;;
  11) exit 1 ;;
  *) exit 2 ;;
esac
