#!/usr/bin/env bash
# Runs the commands of "Start here" in docs/OPERATIONS.md as printed, on a demo of its own, and fails when one does not
# print what the page expects. In the page, "# expect:" gives a regular expression that the output of the command before
# it must hold, and "# status:" its exit status, 0 where there is none.
set -euo pipefail
cd "$(dirname "$0")/.."
net=${CAROB_DEMO_NET:-127.20}
work=$(mktemp -d)
mkdir "$work/settings"
for file in deploy/demo/*.json; do sed "s/127\.20\./$net./g" "$file" >"$work/settings/${file##*/}"; done

scripts/demo.sh --keep >"$work/demo" 2>&1 &
demo=$!
finish() {
  kill "$demo" 2>/dev/null || true
  wait "$demo" 2>/dev/null || true
  rm -rf "$work"
}
trap finish EXIT
for _ in $(seq 150); do
  if grep -q "running until interrupted" "$work/demo"; then break; fi
  sleep 0.1
done
if ! grep -q "running until interrupted" "$work/demo"; then
  cat "$work/demo" >&2
  exit 1
fi

# here puts a printed command onto this run's addresses and files.
here() { sed -e "s#deploy/demo/#$work/settings/#g" -e "s#/tmp/carob-#$work/carob-#g" -e "s#127\.20\.#$net.#g"; }

section=$(sed -n '/^## Start here/,/^## Presets/p' docs/OPERATIONS.md)
mapfile -t lines < <(awk '/^```sh/ {on = 1; next} /^```/ {on = 0} on' <<<"$section")
ran=0
command="" status=0 want=0
expected=()

check() {
  if [ -z "$command" ]; then return; fi
  if [ "$status" != "$want" ]; then
    echo "exit status $status, the page says $want: $command" >&2
    cat "$work/output" >&2
    exit 1
  fi
  local pattern
  for pattern in "${expected[@]}"; do
    if ! grep -qE -- "$pattern" "$work/output"; then
      echo "the output lacks \"$pattern\": $command" >&2
      cat "$work/output" >&2
      exit 1
    fi
  done
  ran=$((ran + 1))
}

for line in "${lines[@]}"; do
  case "$line" in
  "# expect: "*) expected+=("$(here <<<"${line#\# expect: }")") ;;
  "# status: "*) want=${line#\# status: } ;;
  "") ;;
  *)
    check
    command=$(here <<<"$line")
    expected=() want=0 status=0
    echo "\$ $command"
    eval "$command" >"$work/output" 2>&1 || status=$?
    cat "$work/output"
    ;;
  esac
done
check
if [ "$ran" -lt 10 ]; then
  echo "only $ran commands were found in the page" >&2
  exit 1
fi
echo "walkthrough: $ran commands ran as printed"
