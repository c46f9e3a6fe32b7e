#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. It needs only the Go toolchain: the module has no dependency.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target
go build -o ../../target/review-standin .
