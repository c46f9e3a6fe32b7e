#!/usr/bin/env bash
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With
# TROUBLE=0 the disruption is left out. review/build.sh and the build line of deploy/system.toml come first.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -x "$root/target/review-standin" ] && [ -x "$root/target/carobshuntd" ] || exit 2
TROUBLE=${TROUBLE:-1} exec "$root/target/review-standin" long-name "$root" "$here/record.txt"
