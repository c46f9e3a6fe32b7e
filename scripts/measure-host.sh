#!/usr/bin/env bash
# Measures one entry host as a process, on loopback, against the engine stand-in: time added to the first token,
# processor time for streamed tokens, and peak memory with a hundred prompts of a million tokens.
set -euo pipefail
cd "$(dirname "$0")/.."
net=${CAROB_DEMO_NET:-127.20}
work=$(mktemp -d)
pids=()

finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap finish EXIT

for file in deploy/demo/*.json; do
  sed -e "s/127\.20\./$net./g" -e 's/"tokens_per_second": [0-9]*/"tokens_per_second": 1000000000/' "$file" >"$work/${file##*/}"
done

start() {
  "$@" >"$work/log.$1.$RANDOM" 2>&1 &
  pids+=($!)
}

wait_ready() {
  for _ in $(seq 100); do
    bin/carobctl lookup --entry "$entry" >/dev/null 2>&1 && return 0
    sleep 0.1
  done
  return 1
}

mkdir "$work/log.bin"
start bin/carobfake platform --listen "$net.0.1:7500" --config "$work/config.json" --hosts "$work/hosts.json"
for i in 1 2 3 4; do start bin/carobfake engine --listen "$net.2.$i:7600" --speed "${SPEED:-200}"; done
entry=$net.1.1:7400

for run in "$@"; do
  start bin/carobshuntd --settings "$work/host1.json"
  host=${pids[-1]}
  wait_ready
  sleep 3 # a new process holds half of its share of each team's limit for one term
  load=(bin/carobload --entry "$entry" --team desk --pid "$host" --model draft)
  case $run in
    overhead) "${load[@]}" overhead --engine "$net.2.1:7600" --requests 1000 ;;
    stream) "${load[@]}" flight --requests 100 --answer-tokens 1000 ;;
    memory) "${load[@]}" flight --requests 100 --prompt-tokens 1000000 ;;
  esac
  kill -TERM "$host"
  wait "$host" || true
done
