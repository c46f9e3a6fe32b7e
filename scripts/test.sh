#!/usr/bin/env bash
# Runs all tests. Those listed in KNOWN-RED.txt are passed over and printed: one entry a line, beginning with the
# name of the test; empty lines and lines that begin with # are comments.
set -euo pipefail
cd "$(dirname "$0")/.."
known=$(sed -e '/^#/d' -e '/^[[:space:]]*$/d' KNOWN-RED.txt)
skip=()
if [ -n "$known" ]; then
  echo "known red, passed over:"
  echo "$known"
  skip=(-skip "^($(awk '{print $1}' <<<"$known" | paste -sd '|' -))\$")
fi
exec "${GO:-go}" test -timeout 15m "${skip[@]}" "$@" ./...
