#!/usr/bin/env bash
# Runs the tool once for each NAME.args beside this script and compares output
# and exit code with NAME.expected. With --update it writes the expected files.
set -euo pipefail
tool=$(realpath "$1")
update=${2:-}
cd "$(dirname "$0")"
unset FULMARROCK_ADDRESS
failed=0
for args_file in *.args; do
  name=${args_file%.args}
  read -r -a args <"$args_file" || true
  code=0
  output=$("$tool" "${args[@]}" 2>&1) || code=$?
  seen="$output"$'\n'"exit code $code"
  if [ "$update" = --update ]; then
    echo "$seen" >"$name.expected"
  elif ! diff <(echo "$seen") "$name.expected"; then
    echo "FAILED: $name: fulmarrock ${args[*]}"
    failed=1
  fi
done
exit "$failed"
