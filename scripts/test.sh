#!/usr/bin/env bash
# Runs all tests. Those listed in KNOWN-RED.txt are passed over and printed: one entry a line, beginning with the
# name of the test; empty lines and lines that begin with # are comments. Tests named TestCrowd run after all others,
# one at a time: they check the memory of a process that a crowd of clients connects to.
set -euo pipefail
cd "$(dirname "$0")/.."
readonly go=${GO:-go}
readonly crowds='TestCrowd.*'
known=$(sed -e '/^#/d' -e '/^[[:space:]]*$/d' KNOWN-RED.txt)
red=
if [ -n "$known" ]; then
  echo "known red, passed over:"
  echo "$known"
  red="$(awk '{print $1}' <<<"$known" | paste -sd '|' -)|"
fi
"$go" test -timeout 15m -skip "^(${red}${crowds})\$" "$@" ./...
"$go" test -timeout 15m -run "^${crowds}\$" -skip "^(${red}none)\$" -p 1 "$@" ./platform ./test/process
