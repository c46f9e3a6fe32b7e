#!/usr/bin/env bash
# Submits requests, eight at a time, to the hosts that look-ups name, and prints how many were done. Exits non-zero
# when one was not. CAROBCTL_DEPLOYMENT names the deployment.
set -euo pipefail
cd "$(dirname "$0")/.."
count=${1:-40}
model=${2:-draft}
run=$(date +%s)

one() {
  if bin/carobctl submit --id "load-$run-$1" --model "$model" --prompt-tokens 1200 --answer-tokens 200 --budget 30s --retry-refused \
    --zone "zone-$(echo abc | cut -c $(($1 % 3 + 1)))" >"$out/$1" 2>&1; then echo done; else echo not; fi
}
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
export -f one
export out run model
outcomes=$(seq "$count" | xargs -P 8 -I '{}' bash -c 'one {}')
bad=$(grep -c '^not$' <<<"$outcomes" || true)
echo "$((count - bad)) done, $bad not"
if [ "$bad" -gt 0 ]; then
  cat "$out"/* | grep -v ': done' >&2
  exit 1
fi
