#!/usr/bin/env bash
# Runs the main job on loopback: a platform, four engines, a plain service and four entry hosts, then requests of
# each kind. Exits non-zero when one does not end as it should. Ends every process that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=bin
net=${CAROB_DEMO_NET:-127.20} # the first half of the loopback addresses that the demo uses
logs=$(mktemp -d)
demo=$logs/settings
mkdir "$demo"
for file in deploy/demo/*.json; do sed "s/127\.20\./$net./g" "$file" >"$demo/${file##*/}"; done
pids=()

finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$logs"
}
trap finish EXIT

start() {
  local name=$1
  shift
  "$@" >"$logs/$name" 2>&1 &
  pids+=($!)
}

wait_ready() {
  for _ in $(seq 100); do
    if [ "$("$bin/carobctl" lookup --entry "$1" 2>/dev/null | wc -l)" -ge 4 ]; then return 0; fi
    sleep 0.1
  done
  echo "entry host $1 did not get ready" >&2
  cat "$logs"/host* >&2
  return 1
}

start platform "$bin/carobfake" platform --listen "$net.0.1:7500" --config "$demo/config.json" --hosts "$demo/hosts.json"
for i in 1 2 3 4; do start "engine$i" "$bin/carobfake" engine --listen "$net.2.$i:7600" --speed 4; done
start service "$bin/carobfake" service --listen "$net.3.1:7700"
for i in 1 2 3 4; do start "host$i" "$bin/carobshuntd" --settings "$demo/host$i.json"; done

entries=("$net.1.1:7400" "$net.1.2:7400" "$net.1.3:7400" "$net.1.4:7400")
for entry in "${entries[@]}"; do wait_ready "$entry"; done

run=$(date +%s%N)
submit() { "$bin/carobctl" submit --team desk "$@"; }

echo "look-up, asked of each host:"
for entry in "${entries[@]}"; do "$bin/carobctl" lookup --entry "$entry" --zone zone-a | head -n 1; done

echo "short prompt, asked of each host:"
n=0
for entry in "${entries[@]}"; do
  n=$((n + 1))
  submit --entry "$entry" --via "$entry" --id "short-$n-$run" --model draft --prompt-tokens 1200 --expect done
done

echo "prompt of 200,000 tokens:"
submit --entry "${entries[1]}" --id "long-$run" --model draft --prompt-tokens 200000 --answer-tokens 50 --budget 60s --expect done

echo "call that may not be repeated, submitted twice, to two hosts:"
first=$(submit --entry "${entries[0]}" --via "${entries[0]}" --id "order-$run" --model orders --prompt-tokens 100 --idempotent=false --text --expect done)
echo "$first"
home=$(sed -n 's/.* home=\([^ ]*\).*/\1/p' <<<"$first")
deadline=$(sed -n 's/.* deadline_ms=\([0-9]*\).*/\1/p' <<<"$first")
second=$(submit --entry "${entries[2]}" --via "${entries[2]}" --id "order-$run" --model orders --prompt-tokens 100 --idempotent=false \
  --home "$home" --deadline "${deadline}ms" --text --expect done)
echo "$second"
if [ "$(tail -n 1 <<<"$first")" != "$(tail -n 1 <<<"$second")" ] || ! grep -q "arrival 1" <<<"$second"; then
  echo "the call arrived more than once" >&2
  exit 1
fi

echo "request that is refused:"
submit --entry "${entries[3]}" --id "refused-$run" --model no-such-model --prompt-tokens 100 --expect unknown_model

echo "demo: every request ended as it should"
