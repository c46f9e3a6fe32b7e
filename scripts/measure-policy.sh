#!/usr/bin/env bash
# Makes the tables of docs/MEASUREMENTS.md, section "Policy in virtual time". It takes some minutes of one core.
set -euo pipefail
cd "$(dirname "$0")/.."
carobctl=${CAROBCTL:-bin/carobctl}
replay() {
  echo "## replay $*"
  "$carobctl" replay --output summary --length 10m --seeds 5 "$@"
  echo
}
replay --scenario ordinary --of attainable --percent 85 --user etela-suomi
replay --scenario ordinary --of attainable --percent 85 --without 100k-1M
replay --scenario ordinary --of attainable --percent 85 --report-lag 2s --event-loss-percent 50
replay --scenario ordinary --of attainable --percent 100
replay --scenario ordinary --of attainable --percent 150
for scenario in burst engine-dies host-dies zone-cut rush route-notes contracts; do
  replay --scenario "$scenario" --of attainable --percent 85
done
replay --scenario ordinary --of attainable --percent 85 --team-limits
replay --scenario ordinary --of reference --percent 85 --policy all
replay --scenario ordinary --of attainable --percent 85 --policy all
