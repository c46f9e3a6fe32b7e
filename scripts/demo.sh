#!/usr/bin/env bash
# Runs the main job on loopback: a platform, four engines, a plain service and four entry hosts, then requests of
# each kind, one line for each. Exits non-zero when one does not end as it should. Ends every process that it started.
# With --keep it sends nothing and leaves everything running until it is interrupted. With --secure all interfaces
# speak TLS, and the team and the operators have keys; that needs openssl.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=bin
net=${CAROB_DEMO_NET:-127.20} # the first half of the loopback addresses that the demo uses
keep=no secure=no
for option in "$@"; do
  case "$option" in
  --keep) keep=yes ;;
  --secure) secure=yes ;;
  *)
    echo "usage: $0 [--keep] [--secure]" >&2
    exit 2
    ;;
  esac
done
logs=$(mktemp -d)
demo=$logs/settings
mkdir "$demo"
for file in deploy/demo/*.json; do sed "s/127\.20\./$net./g" "$file" >"$demo/${file##*/}"; done
export CAROBCTL_DEPLOYMENT=$demo/carobctl.json
if [ "$secure" = yes ]; then scripts/secure-settings.sh "$demo" "$net"; fi
pids=()

finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$logs"
}
trap finish EXIT
trap 'exit 130' INT TERM

start() {
  local name=$1
  shift
  "$@" >"$logs/$name" 2>&1 &
  pids+=($!)
}

wait_ready() {
  for _ in $(seq 100); do
    if "$bin/carobctl" status --output json 2>/dev/null | grep -c '"ready": true' | grep -qx 4 &&
      "$bin/carobctl" status >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "the entry hosts did not get ready" >&2
  cat "$logs"/host* >&2
  return 1
}

start platform "$bin/carobfake" platform --listen "$net.0.1:7500" --config "$demo/config.json" --hosts "$demo/hosts.json"
for i in 1 2 3 4; do start "engine$i" "$bin/carobfake" engine --listen "$net.2.$i:7600" --speed 4; done
start service "$bin/carobfake" service --listen "$net.3.1:7700"
for i in 1 2 3 4; do start "host$i" "$bin/carobshuntd" --settings "$demo/host$i.json"; done
wait_ready

if [ "$keep" = yes ]; then
  "$bin/carobctl" status
  echo "running until interrupted; logs and settings are in $logs"
  wait
  exit
fi

entries=("$net.1.1:7400" "$net.1.2:7400" "$net.1.3:7400" "$net.1.4:7400")
run=$(date +%s)
submit() { "$bin/carobctl" submit "$@"; }

echo "look-up, asked of each host:"
for entry in "${entries[@]}"; do
  echo "  asked $entry: use $("$bin/carobctl" lookup --entry "$entry" --zone zone-a | awk 'NR > 1 {printf "%s (%s) ", $1, $2}')"
done

echo "short prompt, asked of each host:"
n=0
for entry in "${entries[@]}"; do
  n=$((n + 1))
  submit --entry "$entry" --via "$entry" --id "short-$n-$run" --model draft --prompt-tokens 1200 --expect done
done

echo "call that may not be repeated, submitted twice under one identifier, to two hosts:"
order=(--id "order-$run" --model orders --prompt-tokens 100 --idempotent=false --text --details --expect done)
first=$(submit --via "${entries[0]}" "${order[@]}")
echo "$first"
read -r _ home _ deadline <<<"$(grep '^home ' <<<"$first")"
second=$(submit --via "${entries[2]}" "${order[@]}" --home "$home" --deadline "$deadline")
echo "$second"
if [ "$(tail -n 1 <<<"$first")" != "$(tail -n 1 <<<"$second")" ] || ! grep -q "arrival 1" <<<"$second"; then
  echo "the call arrived more than once" >&2
  exit 1
fi

echo "prompt of 200,000 tokens; while it runs, its host has no room for the body of another one and refuses it at once:"
submit --via "${entries[3]}" --id "long-$run" --model draft --prompt-tokens 200000 --answer-tokens 50 --budget 60s --expect done >"$logs/long" &
long=$!
for _ in $(seq 100); do
  if "$bin/carobctl" status --operator "$net.1.4:7401" --output json | grep -q '"body_bytes": 800000'; then break; fi
  sleep 0.02
done
refused=$(submit --via "${entries[3]}" --id "refused-$run" --model draft --prompt-tokens 90000 --expect not_run)
echo "$refused"
if ! grep -q "come back after" <<<"$refused"; then
  echo "the refusal names no time to come back" >&2
  exit 1
fi
if ! wait "$long"; then
  cat "$logs/long"
  exit 1
fi
cat "$logs/long"

echo "what became of them, from the records of all hosts:"
"$bin/carobctl" outcome "order-$run"

echo "demo: every request ended as it should"
